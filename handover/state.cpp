#include "handover/state.h"

#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <stdexcept>

namespace mothrack::handover {
namespace {

using nlohmann::json;

void CheckVersion(const json& object) {
  if (!object.is_object()) throw std::runtime_error("cut short, or no JSON object");
  const auto version = object.find("version");
  if (version == object.end() || !version->is_number_integer()) throw std::runtime_error("it has no version");
  if (*version != kVersion) {
    throw std::runtime_error("it has version " + version->dump() + ", this program reads " +
                             std::to_string(kVersion));
  }
}

}  // namespace

json ToJson(const State& state) {
  return {{"version", kVersion},
          {"bans", state.bans},
          {"ids", state.ids},
          {"resting", state.resting},
          {"sockets", state.sockets}};
}

State FromJson(const json& object) {
  CheckVersion(object);
  try {
    State state;
    state.bans = object.at("bans").get<std::set<std::string>>();
    state.ids = object.at("ids").get<std::vector<std::string>>();
    state.resting = object.at("resting").get<bool>();
    state.sockets = object.at("sockets").get<std::size_t>();
    return state;
  } catch (const json::exception& e) {
    throw std::runtime_error(e.what());
  }
}

void WriteBans(const std::string& file, const std::set<std::string>& bans, Logger& log) {
  const std::string fresh = file + '.' + std::to_string(::getpid());
  {
    std::ofstream stream(fresh);
    stream << json{{"version", kVersion}, {"bans", bans}} << '\n';
    stream.flush();
    if (!stream) {
      log.Line("bans are not kept for a next process: can't write " + fresh);
      std::remove(fresh.c_str());
      return;
    }
  }
  if (std::rename(fresh.c_str(), file.c_str()) != 0) {
    log.Line("bans are not kept for a next process: " + file + ": " + std::strerror(errno));
    std::remove(fresh.c_str());
  }
}

std::set<std::string> ReadBans(const std::string& file, Logger& log) {
  std::ifstream stream(file);
  if (!stream) return {};
  try {
    const json object = json::parse(stream, nullptr, false);
    CheckVersion(object);
    return object.at("bans").get<std::set<std::string>>();
  } catch (const std::exception& e) {
    log.Line(file + " is ignored: " + e.what());
    return {};
  }
}

}  // namespace mothrack::handover
