#include "discovery/endpoint_list.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "balancer/balancer.h"
#include "runtime/address.h"

namespace mothrack::discovery {
namespace {

using balancer::MembershipUpdate;
using balancer::UpstreamInfo;
using balancer::UpstreamState;
using nlohmann::json;

// Plausibility limits (the year 2286; a million times the weight of an ordinary machine): a list with larger
// values is damaged.
constexpr std::int64_t kMaxBootMs = 9'999'999'999'999;
constexpr double kMaxWeight = 1e6;

UpstreamState ParseState(const std::string& text) {
  if (text == "active") return UpstreamState::kServing;
  if (text == "leaving") return UpstreamState::kDraining;
  if (text == "left") return UpstreamState::kGone;
  throw MalformedList("unknown state " + text);
}

UpstreamInfo ParseInfo(const json& target) {
  UpstreamInfo info;
  info.id.value = target.at("uid").get<std::string>();
  info.state = ParseState(target.at("state").get<std::string>());
  info.zone = target.value("az", "");
  info.kind = target.value("model", "");
  info.cell = target.value("pod_group", std::int64_t{0});
  info.weight = target.value("capacity_hint", 1.0);
  return info;
}

// Throws MalformedList. An upstream in the state "left" needs no endpoint.
dispatch::Location ParseLocation(const json& target, const UpstreamInfo& info) {
  dispatch::Location location;
  location.state = info.state;
  location.boot_ms = target.value("boot_ms", std::int64_t{0});
  if (location.boot_ms < 0 || location.boot_ms > kMaxBootMs) throw MalformedList("boot_ms is out of range");
  if (!(info.weight >= 0 && info.weight <= kMaxWeight)) throw MalformedList("capacity_hint is out of range");
  const auto text = target.value("endpoint", "");
  if (const auto endpoint = runtime::ParseEndpoint(text)) {
    location.endpoint = *endpoint;
  } else if (info.state != UpstreamState::kGone) {
    throw MalformedList("bad endpoint '" + text + "' of " + info.id.value);
  }
  return location;
}

dispatch::MembershipList ParseFields(const json& body) {
  dispatch::MembershipList list;
  list.revision = body.at("rev").get<std::uint64_t>();
  list.update.kind =
      body.at("all").get<bool>() ? MembershipUpdate::Kind::kFull : MembershipUpdate::Kind::kChanges;
  const json& targets = body.at("targets");
  if (!targets.is_array()) throw MalformedList("targets is not an array");
  std::map<std::string, std::size_t> index_by_id;
  for (const json& target : targets) {
    UpstreamInfo info = ParseInfo(target);
    list.locations[info.id.value] = ParseLocation(target, info);
    const auto [entry, inserted] = index_by_id.try_emplace(info.id.value, list.update.upstreams.size());
    if (inserted) list.update.upstreams.emplace_back();
    list.update.upstreams[entry->second] = std::move(info);
  }
  return list;
}

}  // namespace

dispatch::MembershipList ParseList(const json& body) {
  try {
    return ParseFields(body);
  } catch (const json::exception& error) {
    throw MalformedList(error.what());
  }
}

dispatch::MembershipList ParseListText(const std::string& text) {
  json body;
  try {
    body = json::parse(text);
  } catch (const json::exception& error) {
    throw MalformedList(error.what());
  }
  return ParseList(body);
}

}  // namespace mothrack::discovery
