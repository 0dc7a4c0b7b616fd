#include "hot_restart/state.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <stdexcept>
#include <string_view>

namespace mothrack::hot_restart {
namespace {

using nlohmann::json;

void CheckVersion(const json& object) {
  if (!object.is_object()) throw std::runtime_error("truncated, or not a JSON object");
  const auto version = object.find("version");
  if (version == object.end() || !version->is_number_integer())
    throw std::runtime_error("the version is missing");
  if (*version != kVersion) {
    throw std::runtime_error("it has version " + version->dump() + ", but this program reads version " +
                             std::to_string(kVersion));
  }
}

// Writes the file. Returns false and sets errno unless all of the text is on disk.
bool WriteAndSync(const std::string& file, std::string_view text) {
  const int descriptor = ::open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, S_IRUSR | S_IWUSR);
  if (descriptor < 0) return false;
  bool success = true;
  while (success && !text.empty()) {
    const ssize_t written = ::write(descriptor, text.data(), text.size());
    success = written > 0 || (written < 0 && errno == EINTR);
    if (written > 0) text.remove_prefix(static_cast<std::size_t>(written));
  }
  success = success && ::fsync(descriptor) == 0;
  const int error = errno;
  ::close(descriptor);
  errno = error;
  return success;
}

// Syncs the file's directory. Returns false and sets errno if a rename in it may not survive a crash of the
// machine.
bool SyncDirectoryOf(const std::string& file) {
  const auto slash = file.rfind('/');
  const std::string directory = slash == std::string::npos ? "." : file.substr(0, slash + 1);
  const int descriptor = ::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return false;
  const bool success = ::fsync(descriptor) == 0;
  const int error = errno;
  ::close(descriptor);
  errno = error;
  return success;
}

}  // namespace

json ToJson(const State& state) {
  json object = {{"version", kVersion},
                 {"bans", state.bans},
                 {"ids", state.request_ids},
                 {"resting", state.quiescing},
                 {"sockets", state.sockets}};
  if (!state.last_list) return object;
  json& starts = object["starts"] = json::array();
  for (const dispatch::ProcessStart& process : state.starts) {
    starts.push_back({process.uid, process.boot_ms, process.started.time_since_epoch().count()});
  }
  object["last_list_us"] = state.last_list->time_since_epoch().count();
  return object;
}

State FromJson(const json& object) {
  CheckVersion(object);
  try {
    State state;
    state.bans = object.at("bans").get<std::set<std::string>>();
    state.request_ids = object.at("ids").get<std::vector<std::string>>();
    state.quiescing = object.at("resting").get<bool>();
    state.sockets = object.at("sockets").get<std::size_t>();
    if (!object.contains("last_list_us")) return state;
    state.last_list =
        runtime::TimePoint(runtime::Duration(object.at("last_list_us").get<runtime::Duration::rep>()));
    for (const json& process : object.at("starts")) {
      state.starts.push_back(
          {process.at(0).get<std::string>(), process.at(1).get<std::int64_t>(),
           runtime::TimePoint(runtime::Duration(process.at(2).get<runtime::Duration::rep>()))});
    }
    return state;
  } catch (const json::exception& e) {
    throw std::runtime_error(e.what());
  }
}

std::optional<std::string> WriteBans(const std::string& file, const std::set<std::string>& bans) {
  const std::string text = json{{"version", kVersion}, {"bans", bans}}.dump() + '\n';
  const std::string temporary = file + '.' + std::to_string(::getpid());
  if (WriteAndSync(temporary, text) && std::rename(temporary.c_str(), file.c_str()) == 0 &&
      SyncDirectoryOf(file)) {
    return std::nullopt;
  }
  std::string error_text = file + ": " + std::strerror(errno);
  ::unlink(temporary.c_str());
  return error_text;
}

std::set<std::string> ReadBans(const std::string& file, runtime::Logger& log) {
  std::ifstream stream(file);
  if (!stream && errno == ENOENT) return {};
  try {
    if (!stream) throw std::runtime_error(std::strerror(errno));
    const json object = json::parse(stream, nullptr, false);
    CheckVersion(object);
    return object.at("bans").get<std::set<std::string>>();
  } catch (const std::exception& e) {
    log.Error("bans_ignored", {{"file", file}, {"cause", e.what()}});
    return {};
  }
}

}  // namespace mothrack::hot_restart
