// The simulator adapter: the translation of JSON to events and of actions to JSON, and the errors for invalid
// lines.
#include "simulator_adapter/wire.h"

#include "gtest/gtest.h"

namespace mothrack::simulator_adapter {
namespace {

using nlohmann::json;

json Params() {
  return json::parse(R"({
    "Classes": [{"Name": "page", "Aim": 400000, "HardLimit": 1000000, "Effect": "read_like", "KeyScope": "all",
                 "Window": 5000000, "Worth": 5.0, "LateWorth": 0.25, "Stream": false, "Unknown": 3}],
    "Tenants": [{"Name": "t", "Share": 0.5, "QuotaPerS": 12.5}],
    "Limits": {"MaxAttempts": 6, "SecondCopies": true, "MayProbe": true, "Cancelling": false},
    "Rules": {"Cold": 24000000, "ColdFrom": 0.13, "Fall": 1500000, "FallMultiple": 4.0},
    "Prices": {"CrossZone": 0.03}, "MembershipMode": "on_request", "PeersTotal": 3, "Zone": "here", "New": {}})");
}

json Launch(int instance) {
  return {{"event_type", "Launch"}, {"I", instance}, {"Seed", 9}, {"Params", Params()}};
}

json Request(int instance, const char* handle) {
  return {{"event_type", "Order"}, {"I", instance},    {"Handle", handle},         {"Work", nullptr},
          {"Billing", nullptr},    {"Update", false},  {"ClientDeadline", 900000}, {"IsRetry", false},
          {"Category", "page"},    {"Object", nullptr}};
}

json Census(int number, const char* upstream) {
  return {{"event_type", "Census"},
          {"RosterId", number},
          {"Items",
           {{{"Upstream", upstream},
             {"FailureDomain", "here"},
             {"Kind", "k"},
             {"Block", 0},
             {"Status", "on"},
             {"Share", 1.5},
             {"BootTime", nullptr}}}}};
}

json Membership(int instance, int number) {
  return {{"event_type", "Membership"}, {"I", instance}, {"How", "disk"}, {"Rev", 1}, {"RosterId", number}};
}

json Reply(Host& host, json events, std::int64_t clock = 1000) {
  return json::parse(host.Reply(json{{"Clock", clock}, {"news", std::move(events)}}.dump())).at("cmds");
}

// The adapter's error for a line; empty if it accepts the line.
std::string ErrorFor(const std::string& line) {
  Host host;
  try {
    host.Reply(line);
  } catch (const ProtocolError& error) {
    return error.what();
  }
  return "";
}

std::string ErrorForEvent(json item) {
  return ErrorFor(json{{"Clock", 1}, {"news", {std::move(item)}}}.dump());
}

// The last command of this type; null if there is none.
json CommandOfType(const json& cmds, const char* type) {
  json found;
  for (const json& cmd : cmds) {
    if (cmd.at("event_type") == type) found = cmd;
  }
  return found;
}

TEST(Wire, ReadsTheSettings) {
  const balancer::Settings settings = ParseSettings(Params());
  ASSERT_EQ(settings.classes.size(), 1u);
  EXPECT_EQ(settings.classes[0].latency_objective, balancer::Duration(400000));
  EXPECT_EQ(settings.classes[0].deadline, balancer::Duration(1000000));
  EXPECT_EQ(settings.classes[0].effect, balancer::Effect::kSafe);
  EXPECT_DOUBLE_EQ(settings.classes[0].late_priority_weight, 0.25);
  ASSERT_EQ(settings.tenants.size(), 1u);
  EXPECT_DOUBLE_EQ(settings.tenants[0].quota_per_s, 12.5);
  EXPECT_EQ(settings.limits.max_attempts, 6u);
  EXPECT_FALSE(settings.limits.cancel);
  EXPECT_EQ(settings.rules.overload_window, balancer::Duration(1500000));
  EXPECT_DOUBLE_EQ(settings.rules.slow_start_initial_share, 0.13);
  EXPECT_DOUBLE_EQ(settings.prices.cross_zone, 0.03);
  EXPECT_TRUE(settings.membership_on_request);
  EXPECT_EQ(settings.sidecar_count, 3u);
}

TEST(Wire, AnEmptyBatchHasAnEmptyReply) {
  Host host;
  EXPECT_EQ(host.Reply(R"({"Clock":8412250,"news":[]})"), R"({"cmds":[]})");
}

TEST(Wire, ARequestIsForwardedToAListedUpstreamAndItsOutcomeIsRead) {
  Host host;
  const json cmds =
      Reply(host, {Launch(3), Census(0, "10.0.0.1:80"), Membership(3, 0), Request(3, "00000000000000ff")});
  const json forward = CommandOfType(cmds, "Forward");
  EXPECT_EQ(forward.at("I"), 3);
  EXPECT_EQ(forward.at("Handle"), "00000000000000ff");
  EXPECT_EQ(forward.at("Upstream"), "10.0.0.1:80");
  EXPECT_GT(forward.at("Patience").get<int>(), 0);
  EXPECT_EQ(CommandOfType(cmds, "Track").at("Active"), true);
  EXPECT_GT(CommandOfType(cmds, "Sleep").at("When").get<int>(), 1000);
  const json end = {{"event_type", "Finished"},
                    {"I", 3},
                    {"Handle", "00000000000000ff"},
                    {"Attempt", 0},
                    {"Upstream", "10.0.0.1:80"},
                    {"Code", "completed"},
                    {"Rtt", 500},
                    {"Finished", true},
                    {"Stats", {{"rif", 3.0}, {"novel", 1}}}};
  EXPECT_TRUE(Reply(host, {end}, 2000).empty());
}

TEST(Wire, ANumberedListIsResolvedInEventSequence) {
  Host host;
  const json cmds =
      Reply(host, {Launch(1), Census(0, "a:1"), Membership(1, 0), Request(1, "0000000000000001"), Launch(2),
                   Census(0, "b:1"), Membership(2, 0), Request(2, "0000000000000002")});
  for (const json& cmd : cmds) {
    if (cmd.at("event_type") == "Forward") {
      EXPECT_EQ(cmd.at("Upstream"), cmd.at("I") == 1 ? "a:1" : "b:1");
    }
  }
}

TEST(Wire, AHaltedInstanceIsRemoved) {
  Host host;
  Reply(host, {Launch(1), Census(0, "a:1"), Membership(1, 0)});
  EXPECT_TRUE(Reply(host, {{{"event_type", "Halt"}, {"I", 1}}, Request(1, "0000000000000001")}).empty());
}

TEST(Wire, UnknownEventsAndFieldsAreSkipped) {
  EXPECT_EQ(ErrorForEvent({{"event_type", "Novelty"}, {"I", 1}}), "");
  EXPECT_EQ(ErrorFor(R"({"Clock":1,"news":[],"more":true})"), "");
}

TEST(Wire, TheErrorForABadLineNamesTheField) {
  EXPECT_NE(ErrorFor("x").find("batch"), std::string::npos);
  EXPECT_NE(ErrorFor(R"({"news":[]})").find("Clock"), std::string::npos);
  EXPECT_NE(ErrorFor(R"({"Clock":1})").find("news"), std::string::npos);
  EXPECT_NE(ErrorFor(R"({"Clock":1,"news":{}})").find("news"), std::string::npos);
  EXPECT_NE(ErrorForEvent(7).find("event_type"), std::string::npos);
  EXPECT_NE(ErrorForEvent({{"event_type", "Order"}}).find("I"), std::string::npos);
  json launch = Launch(1);
  launch["Params"].erase("Classes");
  EXPECT_NE(ErrorForEvent(launch).find("Classes"), std::string::npos);
}

TEST(Wire, TheErrorForABadFieldNamesTheFieldAndItsEvent) {
  Host host;
  Reply(host, {Launch(1), Census(0, "a:1"), Membership(1, 0)});
  for (const char* field : {"Handle", "ClientDeadline", "Category"}) {
    json request = Request(1, "0000000000000001");
    request[field] = "zz";
    try {
      Reply(host, {request});
      ADD_FAILURE() << field << " was accepted";
    } catch (const ProtocolError& error) {
      EXPECT_NE(std::string(error.what()).find(field), std::string::npos) << error.what();
      EXPECT_NE(std::string(error.what()).find("Order"), std::string::npos) << error.what();
    }
  }
}

TEST(Wire, InvalidSettingsAreReportedAsABugOfThatInstance) {
  Host host;
  json launch = Launch(4);
  launch["Params"]["Rules"]["ColdFrom"] = 1.5;
  const json bug = CommandOfType(Reply(host, {launch}), "Bug");
  ASSERT_TRUE(bug.is_object());
  EXPECT_EQ(bug.at("I"), 4);
  EXPECT_NE(bug.at("ReasonText").get<std::string>().find("cold_from"), std::string::npos);
}

TEST(Wire, ActionsAreWrittenWithTheirFields) {
  Host host;
  json launch = Launch(1);
  launch["Params"]["MembershipMode"] = "pushed";
  const json empty_census = {{"event_type", "Census"}, {"RosterId", 0}, {"Items", json::array()}};
  json events = {launch, empty_census, Membership(1, 0)};
  events.push_back(Request(1, "0000000000000001"));
  json cmds = Reply(host, events);
  for (const json& cmd : Reply(host, {{{"event_type", "Ring"}, {"I", 1}, {"KeyBack", 1}}}, 2000000))
    cmds.push_back(cmd);
  const json deny = CommandOfType(cmds, "Deny");
  ASSERT_TRUE(deny.is_object());
  EXPECT_EQ(deny.at("Handle"), "0000000000000001");
  EXPECT_GE(deny.at("Pause").get<int>(), 0);
  EXPECT_TRUE(CommandOfType(cmds, "JournalLine").at("ReasonText").is_string());
}

}  // namespace
}  // namespace mothrack::simulator_adapter
