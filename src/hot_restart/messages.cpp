#include "hot_restart/messages.h"

namespace mothrack::hot_restart {
namespace {

using nlohmann::json;

constexpr const char* kBanKey = "ban";
constexpr const char* kUnbanKey = "unban";
constexpr const char* kIdKey = "id";
constexpr const char* kQuiesceKey = "rest";
constexpr const char* kSocketsKey = "sockets";

// Returns the value of the key, or nothing unless it is a string that is not empty.
std::optional<std::string> TextOf(const json& line, const char* key) {
  const auto it = line.find(key);
  if (it == line.end() || !it->is_string()) return std::nullopt;
  auto text = it->get<std::string>();
  if (text.empty()) return std::nullopt;
  return text;
}

}  // namespace

json ToJson(const Update& update) {
  json line = json::object();
  if (update.ban) line[kBanKey] = *update.ban;
  if (update.unban) line[kUnbanKey] = *update.unban;
  if (update.request_id) line[kIdKey] = *update.request_id;
  if (update.quiesce) line[kQuiesceKey] = *update.quiesce;
  if (update.sockets) line[kSocketsKey] = *update.sockets;
  return line;
}

Update ParseUpdate(const json& line) {
  Update update;
  update.ban = TextOf(line, kBanKey);
  update.unban = TextOf(line, kUnbanKey);
  update.request_id = TextOf(line, kIdKey);
  if (const auto it = line.find(kQuiesceKey); it != line.end() && it->is_boolean()) {
    update.quiesce = it->get<bool>();
  }
  if (const auto it = line.find(kSocketsKey); it != line.end() && it->is_number_unsigned()) {
    update.sockets = it->get<std::size_t>();
  }
  return update;
}

}  // namespace mothrack::hot_restart
