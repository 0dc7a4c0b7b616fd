// The dispatcher with a scripted front end and a scripted transport: each request gets one final answer and
// each attempt ends once, whatever the two do and in whichever order.
#include "dispatch/dispatcher.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dispatch/recent_request_ids.h"
#include "dispatch/upstream_overrides.h"
#include "gtest/gtest.h"
#include "runtime/address.h"

namespace mothrack {
namespace {

using balancer::MembershipUpdate;
using balancer::Outcome;
using std::chrono::milliseconds;

struct TextMessage : dispatch::Message {
  explicit TextMessage(std::string text) : text(std::move(text)) {}
  std::string text;
};
struct TextReply : dispatch::Reply {
  explicit TextReply(std::string text) : text(std::move(text)) {}
  std::string text;
};

// Keeps each attempt until the test ends it.
class ScriptedTransport : public dispatch::Transport {
 public:
  struct Attempt {
    std::string uid;
    std::shared_ptr<const dispatch::Message> message;
    dispatch::ExchangeHooks hooks;
  };

  void Apply(const std::string& uid, const dispatch::Location& location) override {
    locations[uid] = location;
  }
  void Send(dispatch::ExchangeId id, const std::string& uid, std::shared_ptr<const dispatch::Message> message,
            const dispatch::AttemptTimeouts&, dispatch::ExchangeHooks hooks) override {
    ++sent;
    if (immediate_outcome)
      return hooks.on_end(
          {*immediate_outcome, runtime::Duration(1), {}, std::make_unique<TextReply>("at once")});
    in_flight.emplace(id, Attempt{uid, std::move(message), std::move(hooks)});
  }
  void Probe(dispatch::ExchangeId, const std::string&, OnEnd on_end) override {
    on_end({Outcome::kNotSent, runtime::Duration::zero(), {}, nullptr});
  }
  void Cancel(dispatch::ExchangeId id) override {
    if (in_flight.contains(id)) End(id, Outcome::kCancelled);
  }
  // Ends only attempts that have not begun, which are in `unsent`.
  void Abandon(dispatch::ExchangeId id) override {
    if (in_flight.contains(id) && unsent.contains(id)) End(id, Outcome::kNotSent);
  }
  void CloseIdle(const std::string&) override {}

  void End(dispatch::ExchangeId id, Outcome outcome, const std::string& reply = "") {
    auto on_end = std::move(in_flight.at(id).hooks.on_end);
    in_flight.erase(id);
    on_end({outcome, milliseconds(1), {}, reply.empty() ? nullptr : std::make_unique<TextReply>(reply)});
  }
  dispatch::ExchangeId OnlyAttempt() const {
    EXPECT_EQ(in_flight.size(), 1U);
    return in_flight.begin()->first;
  }

  std::map<std::string, dispatch::Location> locations;
  std::map<dispatch::ExchangeId, Attempt> in_flight;
  std::set<dispatch::ExchangeId> unsent;
  std::optional<Outcome> immediate_outcome;  // if set, attempts end with it within Send()
  int sent = 0;
};

balancer::Settings TestSettings() {
  balancer::Settings settings;
  balancer::RequestClass safe;
  safe.name = "safe";
  safe.latency_objective = milliseconds(400);
  safe.deadline = std::chrono::seconds(60);
  safe.effect = balancer::Effect::kSafe;
  balancer::RequestClass unsafe = safe;
  unsafe.name = "unsafe";
  unsafe.effect = balancer::Effect::kUnsafe;
  settings.classes = {safe, unsafe};
  return settings;
}

dispatch::MembershipList Members(
    const std::vector<std::string>& uids,
    balancer::MembershipUpdate::Kind kind = balancer::MembershipUpdate::Kind::kFull) {
  dispatch::MembershipList list;
  list.update.kind = kind;
  for (const auto& uid : uids) {
    balancer::UpstreamInfo info;
    info.id.value = uid;
    list.update.upstreams.push_back(info);
    list.locations[uid] =
        dispatch::Location{balancer::UpstreamState::kServing, *runtime::ParseEndpoint("127.0.0.1:1"), 0};
  }
  return list;
}

class DispatcherTest : public ::testing::Test {
 protected:
  DispatcherTest() : log("test"), dispatcher(io, TestSettings(), 1, transport, log) {
    dispatcher.Apply(Members({"u1", "u2"}, balancer::MembershipUpdate::Kind::kRestored));
  }

  std::optional<balancer::RequestId> Submit(std::size_t class_number, const std::string& key = "",
                                            runtime::Duration wait = std::chrono::seconds(50)) {
    dispatch::NewRequest request;
    request.request_class = balancer::ClassId{class_number};
    request.deadline = runtime::Now() + wait;
    request.key = key;
    request.message = std::make_shared<TextMessage>("m");
    request.on_final = [this](dispatch::FinalAnswer final) { finals.push_back(std::move(final)); };
    return dispatcher.Submit(std::move(request));
  }
  static std::string TextOf(const dispatch::FinalAnswer& final) {
    return final.reply ? static_cast<const TextReply&>(*final.reply).text : "";
  }

  boost::asio::io_context io;
  runtime::Logger log;
  ScriptedTransport transport;
  dispatch::Dispatcher dispatcher;
  std::vector<dispatch::FinalAnswer> finals;
};

TEST_F(DispatcherTest, ServedRequestHasOneFinalWithItsReply) {
  ASSERT_TRUE(Submit(0));
  transport.End(transport.OnlyAttempt(), Outcome::kServed, "answer");
  ASSERT_EQ(finals.size(), 1U);
  EXPECT_EQ(finals[0].kind, dispatch::FinalAnswer::Kind::kServed);
  EXPECT_EQ(TextOf(finals[0]), "answer");
  EXPECT_EQ(dispatcher.open(), 0U);
}

// A request and its hedge may be in flight together. An attempt that has not begun when the request ends must
// never begin.
TEST_F(DispatcherTest, AttemptThatHasNotBegunEndsWithItsRequest) {
  balancer::Settings settings = TestSettings();
  settings.limits.cancel = false;  // so that the module cancels no attempt
  const auto finals_after = [&](const char* reason, auto end_request) {
    SCOPED_TRACE(reason);
    ScriptedTransport transport;
    dispatch::Dispatcher dispatcher(io, settings, 1, transport, log);
    dispatcher.Apply(Members({"u1", "u2"}, balancer::MembershipUpdate::Kind::kRestored));
    int finals = 0;
    dispatch::NewRequest request;
    request.request_class = balancer::ClassId{0};
    request.deadline = runtime::Now() + milliseconds(5);
    request.message = std::make_shared<TextMessage>("m");
    request.on_final = [&](dispatch::FinalAnswer) { ++finals; };
    const auto id = dispatcher.Submit(std::move(request));
    transport.unsent.insert(transport.OnlyAttempt());
    end_request(dispatcher, transport, *id);
    EXPECT_TRUE(transport.in_flight.empty());
    EXPECT_EQ(dispatcher.open(), 0U);
    return finals;
  };
  EXPECT_EQ(finals_after("its client disconnected",
                         [](dispatch::Dispatcher& dispatcher, ScriptedTransport&, balancer::RequestId id) {
                           dispatcher.OnClientDisconnected(id);
                         }),
            0);
  EXPECT_EQ(finals_after("its deadline passed",
                         [this](dispatch::Dispatcher&, ScriptedTransport& transport, balancer::RequestId) {
                           while (!transport.in_flight.empty() && io.run_one() > 0) {
                           }
                         }),
            1);
}

TEST_F(DispatcherTest, TransportMayEndAttemptsBeforeSendReturns) {
  transport.immediate_outcome = Outcome::kConnectFailed;
  ASSERT_TRUE(Submit(1));
  ASSERT_EQ(finals.size(), 1U);
  EXPECT_EQ(finals[0].kind, dispatch::FinalAnswer::Kind::kRejected);
  EXPECT_EQ(finals[0].last, Outcome::kConnectFailed);
  EXPECT_EQ(finals[0].attempts, static_cast<std::size_t>(transport.sent));
  EXPECT_GT(transport.sent, 1);
  transport.immediate_outcome = Outcome::kServed;
  ASSERT_TRUE(Submit(1));
  ASSERT_EQ(finals.size(), 2U);
  EXPECT_EQ(TextOf(finals[1]), "at once");
  EXPECT_EQ(dispatcher.open(), 0U);
}

TEST_F(DispatcherTest, UnsafeRequestThatMayHaveRunFailsWithTheLastReply) {
  ASSERT_TRUE(Submit(1));
  transport.End(transport.OnlyAttempt(), Outcome::kError, "its own failure");
  ASSERT_EQ(finals.size(), 1U);
  EXPECT_EQ(finals[0].kind, dispatch::FinalAnswer::Kind::kFailed);
  EXPECT_EQ(TextOf(finals[0]), "its own failure");
  EXPECT_EQ(transport.sent, 1);
}

TEST_F(DispatcherTest, OnlyTheLastAttemptsReplyIsForwarded) {
  ASSERT_TRUE(Submit(0));
  transport.End(transport.OnlyAttempt(), Outcome::kError, "the first's");
  ASSERT_EQ(transport.in_flight.size(), 1U) << "the request was not retried once";
  while (!transport.in_flight.empty()) transport.End(transport.in_flight.begin()->first, Outcome::kReset);
  ASSERT_EQ(finals.size(), 1U);
  EXPECT_FALSE(finals[0].reply);
  EXPECT_EQ(finals[0].last, Outcome::kReset);
}

TEST_F(DispatcherTest, ClientThatDisconnectedGetsNothingAndItsAttemptIsCancelled) {
  const auto id = Submit(0);
  ASSERT_EQ(transport.in_flight.size(), 1U);
  dispatcher.OnClientDisconnected(*id);
  EXPECT_TRUE(transport.in_flight.empty());
  EXPECT_TRUE(finals.empty());
  EXPECT_EQ(dispatcher.open(), 0U);
  dispatcher.OnClientDisconnected(*id);  // the id is no longer known
}

TEST_F(DispatcherTest, KeyIsRejectedWhileItsRequestIsOpenAndForTheRetentionAfter) {
  ASSERT_TRUE(Submit(0, "k"));
  EXPECT_FALSE(Submit(0, "k"));
  transport.End(transport.OnlyAttempt(), Outcome::kServed, "answer");
  EXPECT_FALSE(Submit(0, "k"));
  EXPECT_TRUE(Submit(0, "other"));
  EXPECT_EQ(finals.size(), 1U);
}

// A key is kept for the longest deadline of a class, for the longest key window of a keyed class, and for at
// least 5 s.
TEST_F(DispatcherTest, KeysAreKnownForAsLongAsTheSettingsSay) {
  struct Case {
    int deadline_s, window_s;
    balancer::Effect effect;
    int retention_s;
  };
  for (const Case& row :
       {Case{1, 0, balancer::Effect::kSafe, 5}, Case{12, 0, balancer::Effect::kUnsafe, 12},
        Case{1, 20, balancer::Effect::kKeyed, 20}, Case{1, 20, balancer::Effect::kSafe, 5}}) {
    balancer::Settings settings = TestSettings();
    settings.classes.resize(1);
    settings.classes[0].deadline = std::chrono::seconds(row.deadline_s);
    settings.classes[0].key_window = std::chrono::seconds(row.window_s);
    settings.classes[0].effect = row.effect;
    EXPECT_EQ(dispatch::Dispatcher::KeyRetention(settings), std::chrono::seconds(row.retention_s));
  }
}

TEST_F(DispatcherTest, FullListMarksMissingUpstreamsAsRemovedAtTheTransport) {
  dispatcher.Apply(Members({"u2", "u3"}));
  EXPECT_EQ(transport.locations.at("u1").state, balancer::UpstreamState::kGone);
  EXPECT_EQ(transport.locations.at("u3").state, balancer::UpstreamState::kServing);
}

TEST_F(DispatcherTest, FinalPastTheDeadlineIsMarkedLate) {
  ASSERT_TRUE(Submit(0, "", milliseconds(20)));
  while (finals.empty()) io.run_one();
  EXPECT_TRUE(finals[0].late);
  EXPECT_EQ(finals[0].attempts, 1U);
  EXPECT_TRUE(transport.in_flight.empty()) << "the attempt was not cancelled";
}

// In any order of arrivals, ends of attempts, disconnects and changes of the list, each request gets at most
// one final answer, exactly one if its client stays, and no request is left.
TEST_F(DispatcherTest, AnyEventSequenceLeavesOneFinalEach) {
  std::mt19937 random(7);
  std::map<int, int> finals_of;
  std::set<int> disconnected;
  int requests = 0;
  std::vector<std::pair<int, balancer::RequestId>> open;
  const Outcome outcomes[] = {Outcome::kServed,        Outcome::kError, Outcome::kFull,   Outcome::kTimeout,
                              Outcome::kConnectFailed, Outcome::kReset, Outcome::kNotSent};
  for (int step = 0; step < 20000; ++step) {
    const auto dice = random() % 10;
    if (dice < 4) {
      const int number = requests++;
      dispatch::NewRequest request;
      request.request_class = balancer::ClassId{random() % 2};
      request.deadline = runtime::Now() + std::chrono::seconds(50);
      request.message = std::make_shared<TextMessage>("m");
      request.on_final = [&finals_of, number](dispatch::FinalAnswer) { ++finals_of[number]; };
      open.emplace_back(number, *dispatcher.Submit(std::move(request)));
    } else if (dice < 8 && !transport.in_flight.empty()) {
      auto it = transport.in_flight.begin();
      std::advance(it, static_cast<long>(random() % transport.in_flight.size()));
      transport.End(it->first, outcomes[random() % 7], "r");
    } else if (dice == 8 && !open.empty()) {
      const auto& [number, id] = open[random() % open.size()];
      if (!finals_of.contains(number)) disconnected.insert(number);
      dispatcher.OnClientDisconnected(id);
    } else if (step % 50 == 0) {
      dispatcher.Apply(step % 100 == 0 ? Members({"u1"}) : Members({"u1", "u2", "u3"}));
    }
  }
  while (!transport.in_flight.empty())
    transport.End(transport.in_flight.begin()->first, Outcome::kServed, "r");
  for (int i = 0; i < requests; ++i) ASSERT_EQ(finals_of[i], disconnected.contains(i) ? 0 : 1) << i;
  EXPECT_EQ(dispatcher.open(), 0U);
}

// ---- RecentRequestIds ----

// Guards against this failure: a flood of requests that may be repeated displaced the id of one that may not,
// and it ran again when it came again.
TEST(RecentRequestIds, RepeatableOnesDoNotDisplaceTheOthers) {
  dispatch::RecentRequestIds ids(milliseconds(100), 3);
  const runtime::TimePoint start{};
  ASSERT_TRUE(ids.Insert("unsafe", start));
  ids.OnRequestEnded("unsafe", start);
  for (int i = 0; i < 10; ++i) {
    const std::string id = "safe" + std::to_string(i);
    ASSERT_TRUE(ids.Insert(id, start));
    ids.OnRequestEnded(id, start, true);
  }
  EXPECT_FALSE(ids.Insert("unsafe", start));
  EXPECT_TRUE(ids.Insert("safe0", start));
}

TEST(RecentRequestIds, ForgetsByAgeAndNumber) {
  dispatch::RecentRequestIds ids(milliseconds(100), 3);
  const runtime::TimePoint start{};
  EXPECT_TRUE(ids.Insert("a", start));
  EXPECT_FALSE(ids.Insert("a", start));
  ids.OnRequestEnded("a", start);
  EXPECT_FALSE(ids.Insert("a", start + milliseconds(100)));
  EXPECT_TRUE(ids.Insert("a", start + milliseconds(101)));
  for (const char* name : {"b", "c", "d", "e"}) {
    EXPECT_TRUE(ids.Insert(name, start));
    ids.OnRequestEnded(name, start);
  }
  EXPECT_TRUE(ids.Insert("b", start)) << "the oldest of more than three was not dropped";
  EXPECT_FALSE(ids.Insert("e", start));
}

// ---- UpstreamOverrides ----

dispatch::MembershipList Listed(MembershipUpdate::Kind kind, const std::vector<std::string>& uids) {
  dispatch::MembershipList list;
  list.update.kind = kind;
  for (const std::string& uid : uids) {
    balancer::UpstreamInfo info;
    info.id.value = uid;
    list.update.upstreams.push_back(info);
    list.locations[uid];
  }
  return list;
}

TEST(UpstreamOverrides, ABanHoldsOverEveryListAndTheListAppliesOnceItIsLifted) {
  using balancer::UpstreamState;
  dispatch::UpstreamOverrides overrides;
  EXPECT_FALSE(overrides.Ban("a"));
  overrides.Apply(Listed(MembershipUpdate::Kind::kFull, {"a", "b"}));
  auto change = overrides.Ban("a");
  ASSERT_TRUE(change);
  EXPECT_EQ(change->locations.at("a").state, UpstreamState::kDraining);
  // A full list without the upstream removes it. It is still banned when it is listed again.
  EXPECT_EQ(overrides.Apply(Listed(MembershipUpdate::Kind::kFull, {"b"})).locations.at("a").state,
            UpstreamState::kGone);
  EXPECT_EQ(overrides.listed(), 1U);
  change = overrides.Ban("a");
  ASSERT_TRUE(change);
  EXPECT_TRUE(change->update.upstreams.empty());
  const auto relisted = overrides.Apply(Listed(MembershipUpdate::Kind::kChanges, {"a"}));
  EXPECT_EQ(relisted.locations.at("a").state, UpstreamState::kDraining);
  EXPECT_EQ(relisted.update.upstreams.at(0).state, UpstreamState::kDraining);
  change = overrides.Unban("a");
  ASSERT_TRUE(change);
  EXPECT_EQ(change->update.upstreams.at(0).state, UpstreamState::kServing);
}

TEST(UpstreamOverrides, RestoredBansHoldForUpstreamsListedLater) {
  dispatch::UpstreamOverrides overrides;
  EXPECT_TRUE(overrides.Restore({"a"}).update.upstreams.empty());
  const auto list = overrides.Apply(Listed(MembershipUpdate::Kind::kRestored, {"a", "b"}));
  EXPECT_EQ(list.locations.at("a").state, balancer::UpstreamState::kDraining);
  EXPECT_EQ(list.locations.at("b").state, balancer::UpstreamState::kServing);
  EXPECT_TRUE(overrides.Unban("a"));
}

}  // namespace
}  // namespace mothrack
