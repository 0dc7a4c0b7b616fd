#include "agent/agent_file.h"

#include <sys/stat.h>
#include <toml++/toml.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

#include "admin_client/admin_client.h"
#include "rollout/wire.h"

namespace mothrack::agent {
namespace {

constexpr std::size_t kMostInstances = 256;
constexpr std::size_t kMostAgents = 256;
constexpr std::size_t kShortestToken = 16;

// A table that says where it stands, and complains of what nobody asked for.
class Section {
 public:
  Section(const std::string& path, std::string key, const toml::table& table)
      : path_(path), key_(std::move(key)), table_(table) {}

  [[noreturn]] void Fault(const std::string& key, const std::string& what) const {
    const toml::node* node = key.empty() ? nullptr : table_.get(key);
    const auto line = (node != nullptr ? node->source() : table_.source()).begin.line;
    const std::string name = key_.empty() ? key : key.empty() ? key_ : key_ + '.' + key;
    throw FileError(path_ + ':' + std::to_string(line) + ": " + name + ": " + what);
  }

  bool Has(const std::string& key) { return Get(key) != nullptr; }
  std::string Text(const std::string& key, const std::optional<std::string>& otherwise = std::nullopt) {
    const toml::node* node = Get(key);
    if (node == nullptr && otherwise) return *otherwise;
    if (node == nullptr) Fault(key, "is missing; give a text");
    if (!node->is_string()) Fault(key, "is no text; put it in quotes");
    return *node->value<std::string>();
  }
  std::string Named(const std::string& key) {
    const std::string name = Text(key);
    if (!rollout::IsValidName(name))
      Fault(key, "takes letters, digits, '-', '_' and '.', at most 64, no dot first");
    return name;
  }
  rollout::Duration Milliseconds(const std::string& key, rollout::Duration otherwise, rollout::Duration least,
                                 rollout::Duration most) {
    return rollout::Duration(Number(key, otherwise.count(), least.count(), most.count()));
  }
  std::int64_t Number(const std::string& key, std::int64_t otherwise, std::int64_t least, std::int64_t most) {
    const toml::node* node = Get(key);
    if (node == nullptr) return otherwise;
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < least || *value > most) {
      Fault(key, "takes a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    }
    return *value;
  }
  std::vector<std::string> Texts(const std::string& key) {
    std::vector<std::string> texts;
    const toml::node* node = Get(key);
    if (node == nullptr) return texts;
    if (!node->is_array()) Fault(key, "is no list; write [\"...\"]");
    for (const toml::node& item : *node->as_array()) {
      if (!item.is_string()) Fault(key, "holds something that is no text");
      texts.push_back(*item.value<std::string>());
    }
    return texts;
  }
  std::map<std::string, std::string> Pairs(const std::string& key) {
    std::map<std::string, std::string> pairs;
    const toml::node* node = Get(key);
    if (node == nullptr) return pairs;
    if (!node->is_table()) Fault(key, "is no table; write { NAME = \"...\" }");
    for (const auto& [name, item] : *node->as_table()) {
      if (!item.is_string()) Fault(key, std::string(name.str()) + " is no text");
      pairs[std::string(name.str())] = *item.value<std::string>();
    }
    return pairs;
  }
  std::optional<Section> Table(const std::string& key) {
    const toml::node* node = Get(key);
    if (node == nullptr) return std::nullopt;
    if (!node->is_table()) Fault(key, "is no table");
    return Section(path_, key_.empty() ? key : key_ + '.' + key, *node->as_table());
  }
  std::vector<Section> Tables(const std::string& key) {
    std::vector<Section> tables;
    const toml::node* node = Get(key);
    if (node == nullptr) return tables;
    if (!node->is_array()) Fault(key, "is no list of tables; write [[" + key + "]]");
    for (const toml::node& item : *node->as_array()) {
      if (!item.is_table()) Fault(key, "holds something that is no table; write [[" + key + "]]");
      tables.emplace_back(path_, key + '[' + std::to_string(tables.size()) + ']', *item.as_table());
    }
    return tables;
  }
  std::string Place(const std::string& key) {
    std::string place = Text(key);
    if (const std::string fault = admin_client::FaultOfAddress(place); !fault.empty()) Fault(key, fault);
    return place;
  }
  void End() const {
    for (const auto& [key, value] : table_) {
      if (!asked_.contains(std::string(key.str()))) {
        Fault(std::string(key.str()), "is unknown; there are " + Known());
      }
    }
  }

 private:
  const toml::node* Get(const std::string& key) {
    asked_.insert(key);
    return table_.get(key);
  }
  std::string Known() const {
    std::string names;
    for (const std::string& key : asked_) names += (names.empty() ? "" : ", ") + key;
    return names;
  }

  const std::string path_;
  const std::string key_;
  const toml::table& table_;
  std::set<std::string> asked_;
};

toml::table Parse(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw FileError(path + ": can't be read");
  std::ostringstream text;
  text << file.rdbuf();
  try {
    return toml::parse(text.str(), path);
  } catch (const toml::parse_error& e) {
    throw FileError(path + ':' + std::to_string(e.source().begin.line) + ": " + std::string(e.description()));
  }
}

// A secret that others may read is none.
void MustBePrivate(const Section& section, const std::string& key, const std::string& path) {
  struct stat info {};
  if (::stat(path.c_str(), &info) != 0) section.Fault(key, path + " can't be read");
  if ((info.st_mode & 077) != 0) section.Fault(key, path + " may be read by others; chmod 600 it");
}

std::map<std::string, Role> Tokens(const Section& section, const std::string& path) {
  MustBePrivate(section, "tokens", path);
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
      section.Fault("tokens", where + ": begins with viewer or operator");
    if (token.size() < kShortestToken)
      section.Fault("tokens", where + ": a token has 16 characters at least");
    if (!tokens.emplace(token, role == "viewer" ? Role::kViewer : Role::kOperator).second) {
      section.Fault("tokens", where + ": the same token stands there twice");
    }
  }
  if (tokens.empty()) section.Fault("tokens", path + " has no line ROLE TOKEN");
  return tokens;
}

InstanceSpec ReadInstance(Section& section) {
  InstanceSpec spec;
  spec.name = section.Named("name");
  spec.command = section.Texts("command");
  if (spec.command.empty()) section.Fault("command", "is missing; give the program and its arguments");
  if (spec.command.front().front() != '/')
    section.Fault("command", "begins with a whole path, as /usr/bin/mothrack");
  spec.environment = section.Pairs("environment");
  spec.admin_address = section.Text("door", "unix:{directory}/door");
  spec.generation = section.Named("generation");
  section.End();
  return spec;
}

#ifdef MOTHRACK_WITH_PEERS
class PeersSection : public gossip::Source {
 public:
  explicit PeersSection(Section& section) : section_(section) {}
  std::optional<std::string> Text(const char* key) override {
    return section_.Has(key) ? std::optional(section_.Text(key)) : std::nullopt;
  }
  std::optional<std::int64_t> Number(const char* key, std::int64_t least, std::int64_t most) override {
    return section_.Has(key) ? std::optional(section_.Number(key, least, least, most)) : std::nullopt;
  }
  std::optional<std::vector<std::string>> Texts(const char* key) override { return section_.Texts(key); }
  [[noreturn]] void Fail(const std::string& key, std::optional<std::size_t>,
                         const std::string& what) override {
    section_.Fault(key, what);  // which element it is, `what` quotes
  }

 private:
  Section& section_;
};
#endif

}  // namespace

AgentFile LoadAgentFile(const std::string& path) {
  const toml::table table = Parse(path);
  Section whole(path, "", table);
  AgentFile file;
  auto agent = whole.Table("agent");
  if (!agent) whole.Fault("", "there is no [agent]");
  file.name = agent->Named("name");
  file.hall = agent->Named("hall");
  file.listen = agent->Place("listen");
  file.directory = agent->Text("directory");
  const std::string tokens = agent->Text("tokens", "");
  if (!tokens.empty()) file.tokens = Tokens(*agent, tokens);
  if (tokens.empty() && file.listen.rfind("unix:", 0) != 0) {
    agent->Fault("tokens", "is missing; an address needs a file with lines ROLE TOKEN");
  }
  file.check = agent->Texts("check");
  file.lease_time =
      agent->Milliseconds("lease_ms", file.lease_time, rollout::Duration(1000), rollout::Duration(600'000));
  agent->End();
  if (auto limits = whole.Table("limits")) {
    rollout::InstanceLimits& l = file.limits;
    l.stop = limits->Milliseconds("stop_ms", l.stop, rollout::Duration(100), rollout::Duration(600'000));
    l.ready = limits->Milliseconds("ready_ms", l.ready, rollout::Duration(100), rollout::Duration(600'000));
    l.first_backoff = limits->Milliseconds("first_pause_ms", l.first_backoff, rollout::Duration(100),
                                           rollout::Duration(60'000));
    l.max_backoff =
        limits->Milliseconds("longest_pause_ms", l.max_backoff, l.first_backoff, rollout::Duration(600'000));
    l.crashes =
        static_cast<std::size_t>(limits->Number("crashes", static_cast<std::int64_t>(l.crashes), 1, 100));
    l.crash_window = limits->Milliseconds("crash_window_ms", l.crash_window, rollout::Duration(1000),
                                          rollout::Duration(3'600'000));
    file.process_limits.max_log_bytes = static_cast<std::uint64_t>(
        limits->Number("log_bytes", static_cast<std::int64_t>(file.process_limits.max_log_bytes), 4096,
                       std::int64_t{1} << 30));
    limits->End();
  }
  if (auto generations = whole.Table("generations")) file.generations = whole.Pairs("generations");
  for (const auto& [name, from] : file.generations) {
    if (!rollout::IsValidName(name)) whole.Fault("generations", name + " is no name for a generation");
  }
  std::set<std::string> names;
  for (Section& section : whole.Tables("instance")) {
    file.instances.push_back(ReadInstance(section));
    if (!names.insert(file.instances.back().name).second)
      section.Fault("name", "is that of another instance, too");
  }
  if (file.instances.empty()) whole.Fault("", "there is no [[instance]]");
  if (file.instances.size() > kMostInstances)
    whole.Fault("instance", "more than " + std::to_string(kMostInstances));
#ifdef MOTHRACK_WITH_PEERS
  if (auto peers = whole.Table("peers")) {
    PeersSection section(*peers);
    file.peers = gossip::ReadSettings(section, gossip::Role::kAgent, file.hall);
    peers->End();
  }
#else
  if (whole.Has("peers")) {
    whole.Fault("peers", "this program was built without peers; build it with -DMOTHRACK_PEERS=ON");
  }
#endif
  whole.End();
  return file;
}

std::vector<AgentPlace> LoadAgentsFile(const std::string& path) {
  const toml::table table = Parse(path);
  Section whole(path, "", table);
  std::vector<AgentPlace> agents;
  std::set<std::string> names;
  for (Section& section : whole.Tables("agent")) {
    AgentPlace agent;
    agent.name = section.Named("name");
    agent.hall = section.Named("hall");
    agent.place = section.Place("place");
    const std::string token = section.Text("token_file", "");
    if (!token.empty()) {
      MustBePrivate(section, "token_file", token);
      std::ifstream(token) >> agent.token;
      if (agent.token.empty()) section.Fault("token_file", token + " is empty");
    }
    section.End();
    if (!names.insert(agent.name).second) section.Fault("name", "is that of another agent, too");
    agents.push_back(std::move(agent));
  }
  if (agents.empty()) whole.Fault("", "there is no [[agent]]");
  if (agents.size() > kMostAgents) whole.Fault("agent", "more than " + std::to_string(kMostAgents));
  whole.End();
  return agents;
}

}  // namespace mothrack::agent
