#include "agent/agent_file.h"

#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "agent/toml_section.h"
#include "rollout/wire.h"

namespace mothrack::agent {
namespace {

constexpr std::size_t kMaxInstances = 256;
constexpr std::size_t kMinTokenLength = 16;

std::map<std::string, Role> ReadTokens(const TomlSection& section, const std::string& path) {
  RequirePrivateFile(section, "tokens", path);
  std::map<std::string, Role> tokens;
  std::ifstream file(path);
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    std::istringstream words(line);
    std::string role;
    std::string token;
    if (!(words >> role) || role.front() == '#') continue;
    words >> token;
    const std::string where = path + " line " + std::to_string(number);
    if (role != "viewer" && role != "operator")
      section.Fail("tokens", where + ": must begin with viewer or operator");
    if (token.size() < kMinTokenLength)
      section.Fail("tokens", where + ": a token needs at least 16 characters");
    if (!tokens.emplace(token, role == "viewer" ? Role::kViewer : Role::kOperator).second) {
      section.Fail("tokens", where + ": the token occurs twice in the file");
    }
  }
  if (tokens.empty()) section.Fail("tokens", path + " has no line ROLE TOKEN");
  return tokens;
}

InstanceSpec ReadInstance(TomlSection& section) {
  InstanceSpec spec;
  spec.name = section.Name("name");
  spec.command = section.Strings("command");
  if (spec.command.empty()) section.Fail("command", "is missing; give the program and its arguments");
  if (spec.command.front().front() != '/')
    section.Fail("command", "must begin with an absolute path, such as /usr/bin/mothrack");
  spec.environment = section.StringMap("environment");
  spec.admin_address = section.Text("door", "unix:{directory}/door");
  spec.generation = section.Name("generation");
  section.RejectUnknownKeys();
  return spec;
}

#ifdef MOTHRACK_WITH_PEERS
class PeersSection : public gossip::SettingsSource {
 public:
  explicit PeersSection(TomlSection& section) : section_(section) {}
  std::optional<std::string> Text(const char* key) override {
    return section_.Has(key) ? std::optional(section_.Text(key)) : std::nullopt;
  }
  std::optional<std::int64_t> Number(const char* key, std::int64_t min, std::int64_t max) override {
    // The fallback (the second argument) is not used, because the key is present.
    return section_.Has(key) ? std::optional(section_.Number(key, min, min, max)) : std::nullopt;
  }
  std::optional<std::vector<std::string>> Texts(const char* key) override { return section_.Strings(key); }
  [[noreturn]] void Fail(const std::string& key, std::optional<std::size_t>,
                         const std::string& what) override {
    section_.Fail(key, what);  // `what` quotes the element
  }

 private:
  TomlSection& section_;
};
#endif

void ReadAgent(TomlSection& file_section, AgentFile& file) {
  auto agent = file_section.Table("agent");
  if (!agent) file_section.Fail("", "the table [agent] is missing");
  file.name = agent->Name("name");
  file.hall = agent->Name("hall");
  file.listen = agent->Address("listen");
  file.directory = agent->Text("directory");
  const std::string tokens = agent->Text("tokens", "");
  if (!tokens.empty()) file.tokens = ReadTokens(*agent, tokens);
  if (tokens.empty() && file.listen.rfind("unix:", 0) != 0) {
    agent->Fail("tokens", "is missing; an address needs a file with lines ROLE TOKEN");
  }
  file.check = agent->Strings("check");
  file.lease_time =
      agent->Milliseconds("lease_ms", file.lease_time, rollout::Duration(1000), rollout::Duration(600'000));
  agent->RejectUnknownKeys();
}

void ReadLimits(TomlSection& section, AgentFile& file) {
  rollout::InstanceLimits& limits = file.limits;
  limits.stop_timeout = section.Milliseconds("stop_ms", limits.stop_timeout, rollout::Duration(100),
                                             rollout::Duration(600'000));
  limits.ready_timeout = section.Milliseconds("ready_ms", limits.ready_timeout, rollout::Duration(100),
                                              rollout::Duration(600'000));
  limits.first_backoff = section.Milliseconds("first_pause_ms", limits.first_backoff, rollout::Duration(100),
                                              rollout::Duration(60'000));
  limits.max_backoff = section.Milliseconds("longest_pause_ms", limits.max_backoff, limits.first_backoff,
                                            rollout::Duration(600'000));
  limits.crash_loop_exits = static_cast<std::size_t>(
      section.Number("crashes", static_cast<std::int64_t>(limits.crash_loop_exits), 1, 100));
  limits.crash_window = section.Milliseconds("crash_window_ms", limits.crash_window, rollout::Duration(1000),
                                             rollout::Duration(3'600'000));
  file.process_limits.max_log_bytes = static_cast<std::uint64_t>(
      section.Number("log_bytes", static_cast<std::int64_t>(file.process_limits.max_log_bytes), 4096,
                     std::int64_t{1} << 30));
  section.RejectUnknownKeys();
}

void ReadGenerations(TomlSection& file_section, AgentFile& file) {
  if (auto generations = file_section.Table("generations"))
    file.generations = file_section.StringMap("generations");
  for (const auto& [name, from] : file.generations) {
    if (!rollout::IsValidName(name))
      file_section.Fail("generations", name + " is not a valid generation name");
  }
}

void ReadInstances(TomlSection& file_section, AgentFile& file) {
  std::set<std::string> names;
  for (TomlSection& section : file_section.Tables("instance")) {
    file.instances.push_back(ReadInstance(section));
    if (!names.insert(file.instances.back().name).second)
      section.Fail("name", "is already the name of another instance");
  }
  if (file.instances.empty()) file_section.Fail("", "at least one [[instance]] is required");
  if (file.instances.size() > kMaxInstances)
    file_section.Fail("instance", "occurs more than " + std::to_string(kMaxInstances) + " times");
}

void ReadPeers(TomlSection& file_section, [[maybe_unused]] AgentFile& file) {
#ifdef MOTHRACK_WITH_PEERS
  if (auto peers = file_section.Table("peers")) {
    PeersSection section(*peers);
    file.peers = gossip::ReadSettings(section, gossip::Role::kAgent, file.hall);
    peers->RejectUnknownKeys();
  }
#else
  if (file_section.Has("peers")) {
    file_section.Fail("peers", "this program was built without peers; build it with -DMOTHRACK_PEERS=ON");
  }
#endif
}

}  // namespace

AgentFile LoadAgentFile(const std::string& path) {
  const toml::table table = ParseToml(path);
  TomlSection file_section(path, "", table);
  AgentFile file;
  ReadAgent(file_section, file);
  if (auto limits = file_section.Table("limits")) ReadLimits(*limits, file);
  ReadGenerations(file_section, file);
  ReadInstances(file_section, file);
  ReadPeers(file_section, file);
  file_section.RejectUnknownKeys();
  return file;
}

}  // namespace mothrack::agent
