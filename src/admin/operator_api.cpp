#include "admin/operator_api.h"

#include <utility>

namespace mothrack::admin {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxBodySize = 4096;  // bytes
constexpr std::size_t kMaxIdSize = 256;     // bytes

}  // namespace

OperatorApi::OperatorApi(boost::asio::io_context& io, const runtime::Endpoint& endpoint,
                         OperatorApiSource source, runtime::Logger& log)
    : source_(std::move(source)),
      log_(log),
      server_(io, {"LB_OPS", {}, endpoint}, {kConnections, kMaxBodySize}, kOperatorApi, Routes(), nullptr,
              log) {}

std::vector<Route> OperatorApi::Routes() {
  const auto drain = [this](bool on) {
    if (!source_.drain(on)) return Fault(409, "a planned stop is in progress and can't be revoked");
    log_.FreeText(on ? "ops: drain" : "ops: drain ended, takes clients again");
    return Answer{200, {{"draining", on}}};
  };
  return {{"GET", "/ops/readiness",
           [this](const Call&) {
             const bool ready = source_.ready();
             return Answer{ready ? 200U : 503U, {{"ready", ready}}};
           }},
          {"GET", "/ops/stats",
           [this](const Call&) {
             return Answer{200, source_.stats()};
           }},
          {"PUT", "/ops/upstreams/down",
           [this](const Call& call) { return ActOnUpstream(call, source_.ban, "down"); }},
          {"PUT", "/ops/upstreams/up",
           [this](const Call& call) { return ActOnUpstream(call, source_.unban, "up"); }},
          {"PUT", "/ops/drain/start", [drain](const Call&) { return drain(true); }},
          {"PUT", "/ops/drain/stop", [drain](const Call&) { return drain(false); }}};
}

Answer OperatorApi::ActOnUpstream(const Call& call, const std::function<bool(const std::string&)>& apply,
                                  const char* state) {
  const json body = json::parse(call.body, nullptr, false);
  const auto name = body.is_object() ? body.find("name") : body.end();
  if (name == body.end() || !name->is_string()) return Fault(400, R"(give the upstream as {"name":"ID"})");
  const auto uid = name->get<std::string>();
  if (uid.empty() || uid.size() > kMaxIdSize) return Fault(400, "name is empty or longer than any id");
  if (!apply(uid)) return Fault(404, "no upstream of this name was ever listed");
  log_.FreeText(std::string("ops: ") + state + ' ' + uid);
  return {200, {{"name", uid}, {"state", state}}};
}

}  // namespace mothrack::admin
