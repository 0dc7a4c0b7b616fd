// The agent's API answers as in version 0.2.0 throughout one change of one instance. The head is compared
// byte for byte, the body as JSON. Values that differ from run to run are masked: values of the keys in
// kVarying (only their type is compared), pids in text, and Content-Length, which depends on them.
#include <gtest/gtest.h>

#include <regex>
#include <set>
#include <string>

#include "standins/admin_client.h"
#include "standins/fleet.h"
#include "standins/peers.h"
#include "support/fixtures.h"

namespace mothrack::testing {
namespace {

// Times, the pid, and the process's log, which has both.
const std::set<std::string> kVarying = {"at_unix_ms", "log", "now_unix_ms", "pid"};

void MaskVarying(json& value) {
  if (!value.is_structured()) return;
  for (const auto& [key, member] : value.items()) {
    if (value.is_object() && kVarying.contains(key)) {
      member = std::string("MASKED ") + member.type_name();
    } else {
      MaskVarying(member);
    }
  }
}

std::string TextOf(const std::optional<AdminAnswer>& answer) {
  if (!answer) return "no answer";
  static const std::regex kPid("pid [0-9]+");
  static const std::regex kLength("Content-Length: [0-9]+");
  json body = answer->body;
  MaskVarying(body);
  const std::string head = std::regex_replace(answer->head, kLength, "Content-Length: N");
  return Escaped(head) + '\n' + std::regex_replace(body.dump(1), kPid, "pid N");
}

struct RequestCase {
  const char* name;
  const char* line;
  std::string body;
};

std::string Request(const RequestCase& row) {
  return std::string(row.line) +
         " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(row.body.size()) + "\r\n\r\n" + row.body;
}

const json kHolder = {{"change", "c-1"},
                      {"who", "ann"},
                      {"why", "new time-outs"},
                      {"since_unix_ms", 1'700'000'000'123},
                      {"tool", "ann.1.77"}};
const json kOtherHolder = {{"change", "c-2"},
                           {"who", "bob"},
                           {"why", "another"},
                           {"since_unix_ms", 1'700'000'000'456},
                           {"tool", "bob.2.78"}};
const json kTarget = {{"agent", "a0"}, {"instance", "n0"}, {"hall", "bole"}, {"from", "g1"}, {"to", "g1"}};
const json kPlan = {{"id", "c-1"},
                    {"who", "ann"},
                    {"why", "new time-outs"},
                    {"kind", "restart"},
                    {"targets", json::array({kTarget})},
                    {"policy",
                     {{"max_unavailable", 2},
                      {"canary", false},
                      {"on_failure", "roll-back"},
                      {"step_limit_ms", 61'000},
                      {"watch_ms", 2'500},
                      {"unreachable_limit_ms", 5'500},
                      {"worse_by", 0.125},
                      {"least_requests", 21}}}};
const json kStep = {{"change", "c-1"},    {"kind", "restart"}, {"undo", false},
                    {"generation", "g1"}, {"epoch", 5},        {"from", "g1"}};

std::string LeaseBody(const char* ask, int epoch, const json& more) {
  json body = {{"ask", ask}, {"epoch", epoch}};
  body.update(more);
  return body.dump();
}

std::string StepBody(int epoch, const char* instance) {
  return json{{"epoch", epoch}, {"tool", "ann.1.77"}, {"instance", instance}, {"step", kStep}}.dump();
}

// The requests up to the step. They must all be sent within the lease's 3 s.
std::vector<RequestCase> ChangeRequests() {
  const std::string keep = json{{"name", "g2"}, {"files", {{"mothrack.toml", "name = \"x\"\n"}}}}.dump();
  return {
      {"agent", "GET /v1/agent", ""},
      {"history before", "GET /v1/history?1", ""},
      {"log", "GET /v1/log?n0", ""},
      {"log of none", "GET /v1/log?n9", ""},
      {"generation", "GET /v1/generation?g1", ""},
      {"generation of none", "GET /v1/generation?g9", ""},
      {"plan of none", "GET /v1/plan?c-9", ""},
      {"no JSON", "POST /v1/lease", "nonsense"},
      {"no epoch", "POST /v1/lease", R"({"ask":"renew"})"},
      {"epoch of another kind", "POST /v1/lease", R"({"ask":"renew","epoch":"5"})"},
      {"another ask", "POST /v1/lease", R"({"ask":"borrow","epoch":5,"tool":"t"})"},
      {"take without a lease", "POST /v1/take", StepBody(5, "n0")},
      {"acquire", "POST /v1/lease", LeaseBody("acquire", 5, {{"holder", kHolder}})},
      {"acquire by another", "POST /v1/lease", LeaseBody("acquire", 6, {{"holder", kOtherHolder}})},
      {"acquire below", "POST /v1/lease", LeaseBody("acquire", 4, {{"holder", kOtherHolder}})},
      {"renew of another", "POST /v1/lease", LeaseBody("renew", 5, {{"tool", "bob.2.78"}})},
      {"open", "POST /v1/lease", LeaseBody("open", 5, {{"holder", kHolder}, {"plan", kPlan}})},
      {"renew", "POST /v1/lease", LeaseBody("renew", 5, {{"tool", "ann.1.77"}})},
      {"report", "POST /v1/report", R"({"epoch":5,"tool":"ann.1.77"})"},
      {"report of another", "POST /v1/report", R"({"epoch":4,"tool":"bob.2.78"})"},
      {"plan", "GET /v1/plan?c-1", ""},
      {"agent with a change", "GET /v1/agent", ""},
      {"take of none", "POST /v1/take", StepBody(5, "n9")},
      {"take", "POST /v1/take", StepBody(5, "n0")},
      {"release", "POST /v1/lease", LeaseBody("release", 5, {{"tool", "ann.1.77"}, {"close", true}})},
      {"keep", "POST /v1/generation", keep},
      {"keep what is no text", "POST /v1/generation", R"({"name":"g3","files":{"a":1}})"},
      {"keep a bad name", "POST /v1/generation", R"({"name":"../g","files":{"a":"b"}})"},
      {"unknown command", "GET /v1/nothing", ""},
      {"wrong method", "GET /v1/take", ""},
  };
}

TEST(RecordedAgent, AnswersAreThoseOfTheFormerVersion) {
  // The pid and start time in the process file, by which the next agent finds the process.
  static const std::regex kProcessNumbers("(\"pid\":|\"started\":)[0-9]+");
  RecordedSections recorded(MOTHRACK_FIXTURES "/answers.txt");
  Fleet fleet({1, 1, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  const AdminClient agent("unix:" + fleet.path("a0.sock"));
  const auto ask = [&](const RequestCase& row) {
    recorded.Expect(row.name, TextOf(agent.Raw(Request(row))));
  };
  for (const RequestCase& row : ChangeRequests()) ask(row);
  ASSERT_TRUE(Eventually([&] {
    const json instance = fleet.Instance(0, 0);
    return instance.value("phase", "") == "done" && instance.value("ready", false);
  }));
  const std::string process = ReadFixture(fleet.DirectoryOf(0, 0) + "/process.json");
  recorded.Expect("process.json", std::regex_replace(process, kProcessNumbers, "$1N"));
  ask({"agent after", "GET /v1/agent", ""});
  ask({"history after", "GET /v1/history", ""});
}

TEST(RecordedAgent, AnswersToAViewerAreThoseOfTheFormerVersion) {
  RecordedSections recorded(MOTHRACK_FIXTURES "/token_answers.txt");
  Fleet::Options options;
  options.agents = 1;
  options.instances = 1;
  options.tokens = true;
  Fleet fleet(options);
  ASSERT_TRUE(fleet.AllReady("g1"));
  const std::string list = ReadFixture(fleet.path("agents.toml"));
  const auto at = list.find("127.0.0.1:");
  const std::string place = list.substr(at, list.find('"', at) - at);
  const auto ask = [&](const char* name, const char* line, const std::string& token) {
    const std::string headers = token.empty() ? "" : "Authorization: Bearer " + token + "\r\n";
    const std::string request =
        std::string(line) + " HTTP/1.1\r\nHost: h\r\n" + headers + "Content-Length: 0\r\n\r\n";
    recorded.Expect(name, TextOf(AdminClient(place).Raw(request)));
  };
  ask("no token", "GET /v1/agent", "");
  ask("a viewer looks", "GET /v1/plan?none", "viewer-token-12345678");
  ask("a viewer commands", "POST /v1/lease", "viewer-token-12345678");
  ask("an operator commands", "POST /v1/lease", "operator-token-123456");
}

}  // namespace
}  // namespace mothrack::testing
