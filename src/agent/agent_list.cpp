#include "agent/agent_list.h"

#include <fstream>
#include <set>
#include <utility>

#include "agent/toml_section.h"

namespace mothrack::agent {
namespace {

constexpr std::size_t kMaxAgents = 256;

}  // namespace

std::vector<AgentEndpoint> LoadAgentsFile(const std::string& path) {
  const toml::table table = ParseToml(path);
  TomlSection file_section(path, "", table);
  std::vector<AgentEndpoint> agents;
  std::set<std::string> names;
  for (TomlSection& section : file_section.Tables("agent")) {
    AgentEndpoint agent;
    agent.name = section.Name("name");
    agent.hall = section.Name("hall");
    agent.address = section.Address("place");
    const std::string token = section.Text("token_file", "");
    if (!token.empty()) {
      RequirePrivateFile(section, "token_file", token);
      std::ifstream(token) >> agent.token;
      if (agent.token.empty()) section.Fail("token_file", token + " is empty");
    }
    section.RejectUnknownKeys();
    if (!names.insert(agent.name).second) section.Fail("name", "is already the name of another agent");
    agents.push_back(std::move(agent));
  }
  if (agents.empty()) file_section.Fail("", "at least one [[agent]] is required");
  if (agents.size() > kMaxAgents)
    file_section.Fail("agent", "occurs more than " + std::to_string(kMaxAgents) + " times");
  file_section.RejectUnknownKeys();
  return agents;
}

}  // namespace mothrack::agent
