#include "simulator_adapter/wire.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace mothrack::simulator_adapter {
namespace {

using nlohmann::json;

const json& Field(const json& object, const char* name) {
  if (!object.is_object()) throw Error(std::string("not an object where field ") + name + " is needed");
  const auto it = object.find(name);
  if (it == object.end()) throw Error(std::string("missing field ") + name);
  return *it;
}

// The value of a required field of the given type.
template <typename T>
T Get(const json& object, const char* name) {
  try {
    return Field(object, name).get<T>();
  } catch (const json::exception&) {
    throw Error(std::string("bad value in field ") + name);
  }
}

// The value of a field that may be absent or null.
template <typename T>
std::optional<T> Maybe(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || it->is_null()) return std::nullopt;
  return Get<T>(object, name);
}

template <typename T>
void Read(const json& object, const char* name, T& target) {
  if (const auto value = Maybe<T>(object, name)) target = *value;
}

void Read(const json& object, const char* name, balancer::Duration& target) {
  if (const auto value = Maybe<std::int64_t>(object, name)) target = balancer::Duration(*value);
}

// A named part of the settings; an empty object if it is missing.
const json& Part(const json& params, const char* name) {
  static const json empty = json::object();
  const auto it = params.find(name);
  return it == params.end() || it->is_null() ? empty : *it;
}

balancer::TimePoint Time(std::int64_t microseconds) {
  return balancer::TimePoint(balancer::Duration(microseconds));
}

balancer::RequestId ParseRequestId(const json& item) {
  const auto text = Get<std::string>(item, "Handle");
  std::size_t used = 0;
  std::uint64_t value = 0;
  try {
    value = std::stoull(text, &used, 16);
  } catch (const std::logic_error&) {
  }
  if (text.size() != 16 || used != text.size()) throw Error("bad value in field Handle");
  return balancer::RequestId{value};
}

std::string FormatRequestId(balancer::RequestId id) {
  static const char* const kDigits = "0123456789abcdef";
  auto value = static_cast<std::uint64_t>(id);
  std::string text(16, '0');
  for (auto it = text.rbegin(); it != text.rend(); ++it, value >>= 4) *it = kDigits[value & 15];
  return text;
}

template <typename T>
T ParseEnum(const json& object, const char* name, const std::map<std::string, T>& words) {
  const auto it = words.find(Get<std::string>(object, name));
  if (it == words.end()) throw Error(std::string("unknown value in field ") + name);
  return it->second;
}

const std::map<std::string, balancer::Outcome>& Outcomes() {
  static const std::map<std::string, balancer::Outcome> words = {
      {"completed", balancer::Outcome::kServed},
      {"errored", balancer::Outcome::kError},
      {"saturated", balancer::Outcome::kFull},
      {"overdue", balancer::Outcome::kTimeout},
      {"refused_conn", balancer::Outcome::kConnectFailed},
      {"severed", balancer::Outcome::kReset},
      {"recalled", balancer::Outcome::kCancelled},
      {"superseded", balancer::Outcome::kNotSent}};
  return words;
}

balancer::LoadReport ParseLoad(const json& item) {
  balancer::LoadReport load;
  const auto it = item.find("Stats");
  if (it == item.end() || !it->is_object()) return load;
  load.in_flight = Maybe<double>(*it, "rif");
  load.queued = Maybe<double>(*it, "q");
  load.utilization = Maybe<double>(*it, "busy");
  load.rate = Maybe<double>(*it, "rate");
  return load;
}

balancer::UpstreamInfo ParseUpstream(const json& item) {
  static const std::map<std::string, balancer::UpstreamState> states = {
      {"on", balancer::UpstreamState::kServing},
      {"fading", balancer::UpstreamState::kDraining},
      {"off", balancer::UpstreamState::kGone}};
  balancer::UpstreamInfo info;
  info.id.value = Get<std::string>(item, "Upstream");
  info.state = ParseEnum(item, "Status", states);
  Read(item, "FailureDomain", info.zone);
  Read(item, "Kind", info.kind);
  Read(item, "Block", info.cell);
  Read(item, "Share", info.weight);
  const auto started = Maybe<std::int64_t>(item, "BootTime");
  if (started && *started > 0) info.started = Time(*started);
  return info;
}

balancer::RequestClass ParseClass(const json& item) {
  static const std::map<std::string, balancer::Effect> effects = {
      {"read_like", balancer::Effect::kSafe},
      {"idempotency_key", balancer::Effect::kKeyed},
      {"non_idempotent", balancer::Effect::kUnsafe}};
  static const std::map<std::string, balancer::KeyScope> scopes = {{"all", balancer::KeyScope::kAll},
                                                                   {"zone", balancer::KeyScope::kZone},
                                                                   {"cell", balancer::KeyScope::kCell}};
  balancer::RequestClass c;
  c.name = Get<std::string>(item, "Name");
  c.effect = ParseEnum(item, "Effect", effects);
  c.latency_objective = balancer::Duration(Get<std::int64_t>(item, "Aim"));
  c.deadline = balancer::Duration(Get<std::int64_t>(item, "HardLimit"));
  if (Maybe<std::string>(item, "KeyScope")) c.key_scope = ParseEnum(item, "KeyScope", scopes);
  Read(item, "Window", c.key_window);
  Read(item, "AimStretch", c.latency_objective_stretch);
  Read(item, "Worth", c.priority_weight);
  Read(item, "LateWorth", c.late_priority_weight);
  Read(item, "Stream", c.stream);
  return c;
}

// Writes an action as JSON; the overloads correspond to the types of actions.
struct Writer {
  std::int64_t instance;

  json Make(const char* type) const { return {{"event_type", type}, {"I", instance}}; }

  json operator()(const balancer::SendAttempt& a) const {
    json out = Make("Forward");
    out["Handle"] = FormatRequestId(a.request);
    out["Upstream"] = a.upstream.value;
    out["Patience"] = a.timeout.count();
    return out;
  }
  json operator()(const balancer::CancelAttempt& a) const {
    json out = Make("Revoke");
    out["Handle"] = FormatRequestId(a.request);
    out["Attempt"] = static_cast<std::size_t>(a.attempt);
    return out;
  }
  json operator()(const balancer::Reject& a) const {
    json out = Make("Deny");
    out["Handle"] = FormatRequestId(a.request);
    out["Pause"] = a.retry_after.count();
    return out;
  }
  json operator()(const balancer::Fail& a) const {
    json out = Make("RespondError");
    out["Handle"] = FormatRequestId(a.request);
    return out;
  }
  json operator()(const balancer::SetTimer& a) const {
    json out = Make("Sleep");
    out["When"] = a.at.time_since_epoch().count();
    out["KeyBack"] = a.token;
    return out;
  }
  json operator()(const balancer::SendProbe& a) const {
    json out = Make("Probe");
    out["Upstream"] = a.upstream.value;
    return out;
  }
  json operator()(const balancer::CloseIdle& a) const {
    json out = Make("LetGo");
    out["Upstream"] = a.upstream.value;
    return out;
  }
  json operator()(const balancer::Subscribe&) const {
    json out = Make("Track");
    out["Active"] = true;
    return out;
  }
  json operator()(const balancer::Log& a) const {
    json out = Make("JournalLine");
    out["ReasonText"] = a.text;
    return out;
  }
};

}  // namespace

balancer::Settings ParseSettings(const json& params) {
  if (!params.is_object()) throw Error("bad value in field Params");
  balancer::Settings s;
  for (const json& item : Field(params, "Classes")) s.classes.push_back(ParseClass(item));
  for (const json& item : Part(params, "Tenants")) {
    balancer::Tenant tenant;
    tenant.name = Get<std::string>(item, "Name");
    Read(item, "Share", tenant.share);
    Read(item, "QuotaPerS", tenant.quota_per_s);
    s.tenants.push_back(std::move(tenant));
  }
  Read(params, "OverShareWorth", s.over_share_priority_weight);
  Read(params, "Zone", s.zone);
  Read(params, "PeersTotal", s.sidecar_count);
  Read(params, "Me", s.sidecar_index);
  s.membership_on_request = Maybe<std::string>(params, "MembershipMode") == "on_request";
  s.load_by_probe = Maybe<std::string>(Part(params, "Report"), "How") == "probe";
  s.live_weights = Maybe<std::string>(params, "Weights") == "live";

  const json& limits = Part(params, "Limits");
  Read(limits, "MaxAttempts", s.limits.max_attempts);
  Read(limits, "SecondCopies", s.limits.hedging);
  Read(limits, "Cancelling", s.limits.cancel);
  Read(limits, "MayProbe", s.limits.probes);
  Read(limits, "RetryAfter", s.limits.retry_after);
  Read(limits, "MaxRetryAfter", s.limits.max_retry_after);
  Read(limits, "ConnectTimeout", s.limits.connect_timeout);
  Read(limits, "IdleClose", s.limits.idle_close);
  Read(limits, "Multiplex", s.limits.streams);

  const json& rules = Part(params, "Rules");
  Read(rules, "GraceToAnswer", s.rules.answer_grace);
  Read(rules, "MustAskIn", s.rules.poll_within);
  Read(rules, "StopSendingWithin", s.rules.drain_within);
  Read(rules, "ColdFrom", s.rules.slow_start_initial_share);
  Read(rules, "Cold", s.rules.slow_start_duration);
  Read(rules, "FallMultiple", s.rules.overload_multiple);
  Read(rules, "Fall", s.rules.overload_window);

  const json& prices = Part(params, "Prices");
  Read(prices, "CrossZone", s.prices.cross_zone);
  Read(prices, "Handshake", s.prices.handshake);
  Read(prices, "Probe", s.prices.probe);
  Read(prices, "Waste", s.prices.waste);
  Read(prices, "LateFail", s.prices.late_fail);
  return s;
}

std::string Host::Reply(const std::string& line) {
  const json batch = json::parse(line, nullptr, false);
  if (!batch.is_object()) throw Error("not a batch: the line is no JSON object");
  const balancer::TimePoint now = Time(Get<std::int64_t>(batch, "Clock"));
  const json& events = Field(batch, "news");
  if (!events.is_array()) throw Error("bad value in field news");
  json cmds = json::array();
  for (const json& item : events) HandleEvent(item, now, cmds);
  return json{{"cmds", std::move(cmds)}}.dump();
}

void Host::HandleEvent(const json& item, balancer::TimePoint now, json& cmds) {
  const auto type = Get<std::string>(item, "event_type");
  try {
    if (type == "Census") {
      std::vector<balancer::UpstreamInfo>& list = upstream_lists_[Get<std::int64_t>(item, "RosterId")];
      list.clear();
      for (const json& entry : Field(item, "Items")) list.push_back(ParseUpstream(entry));
      return;
    }
    static const std::vector<std::string> known = {"Launch",   "Halt",    "Membership", "Order",  "Streaming",
                                                   "Finished", "Dropped", "Ring",       "Checked"};
    if (std::find(known.begin(), known.end(), type) == known.end())
      return;  // this adapter does not use the event
    const auto number = Get<std::int64_t>(item, "I");
    const Writer writer{number};
    actions_.clear();
    try {
      if (type == "Halt" || type == "Launch") instances_.erase(number);
      if (type == "Launch") Launch(number, item);
      if (type == "Halt" || type == "Launch") return;
      const auto it = instances_.find(number);
      if (it == instances_.end()) return;  // the instance was halted
      it->second.balancer.handle(now, ToEvent(type, item, it->second), actions_);
    } catch (const Error&) {
      throw;
    } catch (const std::exception& e) {
      cmds.push_back({{"event_type", "Bug"}, {"I", number}, {"ReasonText", e.what()}});
      return;
    }
    for (const balancer::Action& action : actions_) cmds.push_back(std::visit(writer, action));
  } catch (const Error& e) {
    throw Error(type + ": " + e.what());
  }
}

void Host::Launch(std::int64_t number, const json& item) {
  balancer::Settings settings = ParseSettings(Field(item, "Params"));
  balancer::Balancer balancer(settings, Get<std::uint64_t>(item, "Seed"));
  Instance instance{std::move(settings), std::move(balancer), {}, {}};
  for (std::size_t i = 0; i < instance.settings.classes.size(); ++i) {
    instance.classes[instance.settings.classes[i].name] = i;
  }
  for (std::size_t i = 0; i < instance.settings.tenants.size(); ++i) {
    instance.tenants[instance.settings.tenants[i].name] = i;
  }
  instances_.emplace(number, std::move(instance));
}

balancer::Event Host::ToEvent(const std::string& type, const json& item, const Instance& instance) const {
  if (type == "Membership") return ToMembership(item);
  if (type == "Ring") return balancer::TimerFired{Get<std::uint64_t>(item, "KeyBack")};
  if (type == "Dropped") return balancer::ClientDisconnected{ParseRequestId(item)};
  if (type == "Streaming")
    return balancer::AnswerStarted{ParseRequestId(item),
                                   balancer::AttemptId{Get<std::size_t>(item, "Attempt")}};
  if (type == "Checked") {
    return balancer::ProbeEnded{balancer::UpstreamId{Get<std::string>(item, "Upstream")},
                                ParseEnum(item, "Code", Outcomes()),
                                balancer::Duration(Get<std::int64_t>(item, "Rtt")), ParseLoad(item)};
  }
  if (type == "Finished") {
    return balancer::AttemptEnded{ParseRequestId(item),
                                  balancer::AttemptId{Get<std::size_t>(item, "Attempt")},
                                  ParseEnum(item, "Code", Outcomes()),
                                  balancer::Duration(Get<std::int64_t>(item, "Rtt")),
                                  Get<bool>(item, "Finished"),
                                  ParseLoad(item)};
  }
  balancer::RequestArrived e;
  e.request = ParseRequestId(item);
  e.request_class = balancer::ClassId{ParseEnum(item, "Category", instance.classes)};
  const auto tenant = item.find("Billing");
  if (tenant != item.end() && tenant->is_string())
    e.tenant = balancer::TenantId{ParseEnum(item, "Billing", instance.tenants)};
  e.deadline = Time(Get<std::int64_t>(item, "ClientDeadline"));
  if (const auto work = Maybe<std::int64_t>(item, "Work")) e.work = balancer::Duration(*work);
  Read(item, "IsRetry", e.client_retry);
  return e;
}

balancer::MembershipUpdate Host::ToMembership(const json& item) const {
  static const std::map<std::string, balancer::MembershipUpdate::Kind> kinds = {
      {"diff", balancer::MembershipUpdate::Kind::kChanges},
      {"snapshot", balancer::MembershipUpdate::Kind::kFull},
      {"disk", balancer::MembershipUpdate::Kind::kRestored},
      {"error", balancer::MembershipUpdate::Kind::kFailed}};
  balancer::MembershipUpdate update;
  update.kind = ParseEnum(item, "How", kinds);
  if (update.kind == balancer::MembershipUpdate::Kind::kFailed) return update;
  const auto list = upstream_lists_.find(Get<std::int64_t>(item, "RosterId"));
  if (list == upstream_lists_.end()) throw Error("unknown value in field RosterId");
  update.upstreams = list->second;
  return update;
}

}  // namespace mothrack::simulator_adapter
