#include "simulator_adapter/wire.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace mothrack::simulator_adapter {
namespace {

using nlohmann::json;

const json& Field(const json& object, const char* name) {
  if (!object.is_object()) throw ProtocolError(std::string("expected a JSON object with field ") + name);
  const auto it = object.find(name);
  if (it == object.end()) throw ProtocolError(std::string("missing field ") + name);
  return *it;
}

// Returns the value of a required field. Throws ProtocolError if it is missing or of another type.
template <typename T>
T GetRequired(const json& object, const char* name) {
  try {
    return Field(object, name).get<T>();
  } catch (const json::exception&) {
    throw ProtocolError(std::string("bad value in field ") + name);
  }
}

// Returns the value of a field, or nothing if it is absent or null.
template <typename T>
std::optional<T> GetOptional(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || it->is_null()) return std::nullopt;
  return GetRequired<T>(object, name);
}

template <typename T>
void ReadOptional(const json& object, const char* name, T& target) {
  if (const auto value = GetOptional<T>(object, name)) target = *value;
}

void ReadOptional(const json& object, const char* name, balancer::Duration& target) {
  if (const auto value = GetOptional<std::int64_t>(object, name)) target = balancer::Duration(*value);
}

// Returns a named section of the settings, or an empty object if it is missing.
const json& Section(const json& params, const char* name) {
  static const json empty = json::object();
  const auto it = params.find(name);
  return it == params.end() || it->is_null() ? empty : *it;
}

balancer::TimePoint ToTimePoint(std::int64_t microseconds) {
  return balancer::TimePoint(balancer::Duration(microseconds));
}

balancer::RequestId ParseRequestId(const json& item) {
  const auto text = GetRequired<std::string>(item, "Handle");
  std::size_t used = 0;
  std::uint64_t value = 0;
  try {
    value = std::stoull(text, &used, 16);
  } catch (const std::logic_error&) {
    // `used` stays 0, so the text is rejected below.
  }
  if (text.size() != 16 || used != text.size()) throw ProtocolError("bad value in field Handle");
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
T ParseEnum(const json& object, const char* name, const std::map<std::string, T>& values) {
  const auto it = values.find(GetRequired<std::string>(object, name));
  if (it == values.end()) throw ProtocolError(std::string("unknown value in field ") + name);
  return it->second;
}

const std::map<std::string, balancer::Outcome>& Outcomes() {
  static const std::map<std::string, balancer::Outcome> values = {
      {"completed", balancer::Outcome::kServed},
      {"errored", balancer::Outcome::kError},
      {"saturated", balancer::Outcome::kFull},
      {"overdue", balancer::Outcome::kTimeout},
      {"refused_conn", balancer::Outcome::kConnectFailed},
      {"severed", balancer::Outcome::kReset},
      {"recalled", balancer::Outcome::kCancelled},
      {"superseded", balancer::Outcome::kNotSent}};
  return values;
}

balancer::LoadReport ParseLoad(const json& item) {
  balancer::LoadReport load;
  const auto it = item.find("Stats");
  if (it == item.end() || !it->is_object()) return load;
  load.in_flight = GetOptional<double>(*it, "rif");
  load.queued = GetOptional<double>(*it, "q");
  load.utilization = GetOptional<double>(*it, "busy");
  load.rate = GetOptional<double>(*it, "rate");
  return load;
}

balancer::UpstreamInfo ParseUpstream(const json& item) {
  static const std::map<std::string, balancer::UpstreamState> states = {
      {"on", balancer::UpstreamState::kServing},
      {"fading", balancer::UpstreamState::kDraining},
      {"off", balancer::UpstreamState::kGone}};
  balancer::UpstreamInfo info;
  info.id.value = GetRequired<std::string>(item, "Upstream");
  info.state = ParseEnum(item, "Status", states);
  ReadOptional(item, "FailureDomain", info.zone);
  ReadOptional(item, "Kind", info.kind);
  ReadOptional(item, "Block", info.cell);
  ReadOptional(item, "Share", info.weight);
  const auto started = GetOptional<std::int64_t>(item, "BootTime");
  if (started && *started > 0) info.started = ToTimePoint(*started);
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
  balancer::RequestClass request_class;
  request_class.name = GetRequired<std::string>(item, "Name");
  request_class.effect = ParseEnum(item, "Effect", effects);
  request_class.latency_objective = balancer::Duration(GetRequired<std::int64_t>(item, "Aim"));
  request_class.deadline = balancer::Duration(GetRequired<std::int64_t>(item, "HardLimit"));
  if (GetOptional<std::string>(item, "KeyScope"))
    request_class.key_scope = ParseEnum(item, "KeyScope", scopes);
  ReadOptional(item, "Window", request_class.key_window);
  ReadOptional(item, "AimStretch", request_class.latency_objective_stretch);
  ReadOptional(item, "Worth", request_class.priority_weight);
  ReadOptional(item, "LateWorth", request_class.late_priority_weight);
  ReadOptional(item, "Stream", request_class.stream);
  return request_class;
}

// Writes an action as JSON; there is one overload for each type of action.
struct ActionWriter {
  std::int64_t instance;

  json NewCommand(const char* type) const { return {{"event_type", type}, {"I", instance}}; }

  json operator()(const balancer::SendAttempt& action) const {
    json command = NewCommand("Forward");
    command["Handle"] = FormatRequestId(action.request);
    command["Upstream"] = action.upstream.value;
    command["Patience"] = action.timeout.count();
    return command;
  }
  json operator()(const balancer::CancelAttempt& action) const {
    json command = NewCommand("Revoke");
    command["Handle"] = FormatRequestId(action.request);
    command["Attempt"] = static_cast<std::size_t>(action.attempt);
    return command;
  }
  json operator()(const balancer::Reject& action) const {
    json command = NewCommand("Deny");
    command["Handle"] = FormatRequestId(action.request);
    command["Pause"] = action.retry_after.count();
    return command;
  }
  json operator()(const balancer::Fail& action) const {
    json command = NewCommand("RespondError");
    command["Handle"] = FormatRequestId(action.request);
    return command;
  }
  json operator()(const balancer::SetTimer& action) const {
    json command = NewCommand("Sleep");
    command["When"] = action.at.time_since_epoch().count();
    command["KeyBack"] = action.token;
    return command;
  }
  json operator()(const balancer::SendProbe& action) const {
    json command = NewCommand("Probe");
    command["Upstream"] = action.upstream.value;
    return command;
  }
  json operator()(const balancer::CloseIdle& action) const {
    json command = NewCommand("LetGo");
    command["Upstream"] = action.upstream.value;
    return command;
  }
  json operator()(const balancer::Subscribe&) const {
    json command = NewCommand("Track");
    command["Active"] = true;
    return command;
  }
  json operator()(const balancer::Log& action) const {
    json command = NewCommand("JournalLine");
    command["ReasonText"] = action.text;
    return command;
  }
};

}  // namespace

balancer::Settings ParseSettings(const json& params) {
  if (!params.is_object()) throw ProtocolError("bad value in field Params");
  balancer::Settings settings;
  for (const json& item : Field(params, "Classes")) settings.classes.push_back(ParseClass(item));
  for (const json& item : Section(params, "Tenants")) {
    balancer::Tenant tenant;
    tenant.name = GetRequired<std::string>(item, "Name");
    ReadOptional(item, "Share", tenant.share);
    ReadOptional(item, "QuotaPerS", tenant.quota_per_s);
    settings.tenants.push_back(std::move(tenant));
  }
  ReadOptional(params, "OverShareWorth", settings.over_share_priority_weight);
  ReadOptional(params, "Zone", settings.zone);
  ReadOptional(params, "PeersTotal", settings.sidecar_count);
  ReadOptional(params, "Me", settings.sidecar_index);
  settings.membership_on_request = GetOptional<std::string>(params, "MembershipMode") == "on_request";
  settings.load_by_probe = GetOptional<std::string>(Section(params, "Report"), "How") == "probe";
  settings.live_weights = GetOptional<std::string>(params, "Weights") == "live";

  const json& limits = Section(params, "Limits");
  ReadOptional(limits, "MaxAttempts", settings.limits.max_attempts);
  ReadOptional(limits, "SecondCopies", settings.limits.hedging);
  ReadOptional(limits, "Cancelling", settings.limits.cancel);
  ReadOptional(limits, "MayProbe", settings.limits.probes);
  ReadOptional(limits, "RetryAfter", settings.limits.retry_after);
  ReadOptional(limits, "MaxRetryAfter", settings.limits.max_retry_after);
  ReadOptional(limits, "ConnectTimeout", settings.limits.connect_timeout);
  ReadOptional(limits, "IdleClose", settings.limits.idle_close);
  ReadOptional(limits, "Multiplex", settings.limits.streams);

  const json& rules = Section(params, "Rules");
  ReadOptional(rules, "GraceToAnswer", settings.rules.answer_grace);
  ReadOptional(rules, "MustAskIn", settings.rules.poll_within);
  ReadOptional(rules, "StopSendingWithin", settings.rules.drain_within);
  ReadOptional(rules, "ColdFrom", settings.rules.slow_start_initial_share);
  ReadOptional(rules, "Cold", settings.rules.slow_start_duration);
  ReadOptional(rules, "FallMultiple", settings.rules.overload_multiple);
  ReadOptional(rules, "Fall", settings.rules.overload_window);

  const json& prices = Section(params, "Prices");
  ReadOptional(prices, "CrossZone", settings.prices.cross_zone);
  ReadOptional(prices, "Handshake", settings.prices.handshake);
  ReadOptional(prices, "Probe", settings.prices.probe);
  ReadOptional(prices, "Waste", settings.prices.waste);
  ReadOptional(prices, "LateFail", settings.prices.late_fail);
  return settings;
}

std::string Host::Reply(const std::string& line) {
  const json batch = json::parse(line, nullptr, false);
  if (!batch.is_object()) throw ProtocolError("not a batch: the line is not a JSON object");
  const balancer::TimePoint now = ToTimePoint(GetRequired<std::int64_t>(batch, "Clock"));
  const json& events = Field(batch, "news");
  if (!events.is_array()) throw ProtocolError("bad value in field news");
  json cmds = json::array();
  for (const json& item : events) HandleEvent(item, now, cmds);
  return json{{"cmds", std::move(cmds)}}.dump();
}

void Host::HandleEvent(const json& item, balancer::TimePoint now, json& cmds) {
  const auto type = GetRequired<std::string>(item, "event_type");
  try {
    if (type == "Census") {
      std::vector<balancer::UpstreamInfo>& list =
          upstream_lists_[GetRequired<std::int64_t>(item, "RosterId")];
      list.clear();
      for (const json& entry : Field(item, "Items")) list.push_back(ParseUpstream(entry));
      return;
    }
    static const std::vector<std::string> handled_types = {
        "Launch", "Halt", "Membership", "Order", "Streaming", "Finished", "Dropped", "Ring", "Checked"};
    if (std::find(handled_types.begin(), handled_types.end(), type) == handled_types.end())
      return;  // the adapter ignores events of other types
    const auto number = GetRequired<std::int64_t>(item, "I");
    const ActionWriter writer{number};
    actions_.clear();
    try {
      if (type == "Halt" || type == "Launch") instances_.erase(number);
      if (type == "Launch") Launch(number, item);
      if (type == "Halt" || type == "Launch") return;
      const auto it = instances_.find(number);
      if (it == instances_.end()) return;  // the instance was halted or never launched
      it->second.balancer.handle(now, ToEvent(type, item, it->second), actions_);
    } catch (const ProtocolError&) {
      throw;
    } catch (const std::exception& error) {
      cmds.push_back({{"event_type", "Bug"}, {"I", number}, {"ReasonText", error.what()}});
      return;
    }
    for (const balancer::Action& action : actions_) cmds.push_back(std::visit(writer, action));
  } catch (const ProtocolError& error) {
    throw ProtocolError(type + ": " + error.what());
  }
}

void Host::Launch(std::int64_t number, const json& item) {
  balancer::Settings settings = ParseSettings(Field(item, "Params"));
  balancer::Balancer balancer(settings, GetRequired<std::uint64_t>(item, "Seed"));
  Instance instance{std::move(settings), std::move(balancer), {}, {}};
  for (std::size_t i = 0; i < instance.settings.classes.size(); ++i) {
    instance.class_numbers[instance.settings.classes[i].name] = i;
  }
  for (std::size_t i = 0; i < instance.settings.tenants.size(); ++i) {
    instance.tenant_numbers[instance.settings.tenants[i].name] = i;
  }
  instances_.emplace(number, std::move(instance));
}

balancer::Event Host::ToEvent(const std::string& type, const json& item, const Instance& instance) const {
  if (type == "Membership") return ToMembership(item);
  if (type == "Ring") return balancer::TimerFired{GetRequired<std::uint64_t>(item, "KeyBack")};
  if (type == "Dropped") return balancer::ClientDisconnected{ParseRequestId(item)};
  if (type == "Streaming")
    return balancer::AnswerStarted{ParseRequestId(item),
                                   balancer::AttemptId{GetRequired<std::size_t>(item, "Attempt")}};
  if (type == "Checked") {
    return balancer::ProbeEnded{balancer::UpstreamId{GetRequired<std::string>(item, "Upstream")},
                                ParseEnum(item, "Code", Outcomes()),
                                balancer::Duration(GetRequired<std::int64_t>(item, "Rtt")), ParseLoad(item)};
  }
  if (type == "Finished") {
    return balancer::AttemptEnded{ParseRequestId(item),
                                  balancer::AttemptId{GetRequired<std::size_t>(item, "Attempt")},
                                  ParseEnum(item, "Code", Outcomes()),
                                  balancer::Duration(GetRequired<std::int64_t>(item, "Rtt")),
                                  GetRequired<bool>(item, "Finished"),
                                  ParseLoad(item)};
  }
  balancer::RequestArrived event;
  event.request = ParseRequestId(item);
  event.request_class = balancer::ClassId{ParseEnum(item, "Category", instance.class_numbers)};
  const auto tenant = item.find("Billing");
  if (tenant != item.end() && tenant->is_string())
    event.tenant = balancer::TenantId{ParseEnum(item, "Billing", instance.tenant_numbers)};
  event.deadline = ToTimePoint(GetRequired<std::int64_t>(item, "ClientDeadline"));
  if (const auto work = GetOptional<std::int64_t>(item, "Work")) event.work = balancer::Duration(*work);
  ReadOptional(item, "IsRetry", event.client_retry);
  return event;
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
  const auto list = upstream_lists_.find(GetRequired<std::int64_t>(item, "RosterId"));
  if (list == upstream_lists_.end()) throw ProtocolError("unknown value in field RosterId");
  update.upstreams = list->second;
  return update;
}

}  // namespace mothrack::simulator_adapter
