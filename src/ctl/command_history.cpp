// mothrackctl history: the events that the agents recorded, in the order of their times.
#include <iostream>
#include <map>
#include <set>
#include <vector>

#include "ctl/session.h"
#include "ctl/show.h"

namespace mothrack::ctl {

using nlohmann::json;

ExitCode RunHistory(Session& session) {
  std::multimap<std::int64_t, std::vector<std::string>> rows_by_time;
  std::set<std::string> unreachable;
  const std::string target = "/v1/history?" + std::to_string(session.options().max_events);
  for (const auto& [agent, reply] : session.driver().RequestAll("GET", target, {})) {
    if (!reply.ok()) unreachable.insert(agent);
    const json events = reply.body.is_object() ? reply.body.value("events", json::array()) : json::array();
    for (const json& event : events) {
      const auto at_unix_ms = event.value("at_unix_ms", std::int64_t{0});
      rows_by_time.emplace(
          at_unix_ms, std::vector<std::string>{FormatLocalTime(at_unix_ms), agent, event.value("change", ""),
                                               event.value("line", "")});
    }
  }
  std::vector<std::vector<std::string>> rows = {{"WHEN", "AGENT", "CHANGE", "WHAT"}};
  for (const auto& [at, row] : rows_by_time) rows.push_back(row);
  std::cout << FormatTable(rows);
  if (unreachable.empty()) return kDone;
  return Fail(kUnreachable, "can't be reached: " + JoinNames(unreachable));
}

}  // namespace mothrack::ctl
