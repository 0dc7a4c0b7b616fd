// Until when news may be missing: the statement as a table, and the real loop against sources that fall
// silent.
#include "discovery/discovery.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "balancer/helpers.h"
#include "discovery/endpoint_staleness.h"
#include "simulator_adapter/wire.h"
#include "standins/peers.h"

namespace mothrack {
namespace {

using balancer::MembershipUpdate;
using balancer::UpstreamState;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Peer;
using testing::Target;
using testing::Wire;

// ---- The statement ----

discovery::StalenessRules Rules(bool on_request, runtime::Duration drain,
                                runtime::Duration poll_within = seconds(10)) {
  return {on_request, drain, poll_within};
}

constexpr discovery::StalenessCase kCases[] = {
    discovery::StalenessCase::kWatch, discovery::StalenessCase::kList, discovery::StalenessCase::kAfterOutage,
    discovery::StalenessCase::kMoved, discovery::StalenessCase::kNewProcess};

std::vector<discovery::StalenessRules> AllRules() {
  std::vector<discovery::StalenessRules> all;
  for (const bool on_request : {false, true}) {
    for (const int drain : {100, 150, 250, 400, 500, 750, 1000, 2000, 60000}) {
      for (const int poll_within : {1, 2, 5, 10, 30, 600}) {
        all.push_back(Rules(on_request, milliseconds(drain), seconds(poll_within)));
      }
    }
  }
  return all;
}

std::string Text(const discovery::StalenessRules& rules) {
  return (rules.on_request ? "asked, " : "pushed, ") + std::to_string(rules.drain_within / milliseconds(1)) +
         " ms, MustAskIn " + std::to_string(rules.poll_within / seconds(1)) + " s";
}

TEST(NewsStatement, IsKeptWithItsMarginInEachCase) {
  for (const discovery::StalenessRules& rules : AllRules()) {
    const discovery::PollPolicy terms = discovery::PollPolicy::For(rules);
    for (const discovery::StalenessCase news : kCases) {
      EXPECT_LE(discovery::WorstOf(terms, news),
                discovery::AllowedBy(rules, news) - discovery::MarginOf(rules))
          << Text(rules) << ", case " << static_cast<int>(news);
      // The operators' terms, whatever the settings: 6 s, and for a call that may wait 2 s after that wait.
      const bool waits = rules.on_request && news == discovery::StalenessCase::kWatch;
      EXPECT_LE(discovery::AllowedBy(rules, news),
                (waits ? terms.wait + seconds(2) : runtime::Duration(seconds(6))) +
                    std::min<runtime::Duration>(rules.drain_within, seconds(2)));
      // Given up, a watch is a failed call like others: told within 6 s wherever the service takes 1 s for
      // the next.
      EXPECT_LE(terms.wait + terms.watch_patience + seconds(1),
                seconds(6) + std::min<runtime::Duration>(rules.drain_within, seconds(2)));
    }
    // What the service bears: a call in 5 s from each.
    EXPECT_GE(terms.wait, rules.on_request ? seconds(5) : seconds(0));
    EXPECT_GE(discovery::MarginOf(rules), std::min<runtime::Duration>(rules.drain_within, seconds(2)) / 4);
  }
}

// The change is there, and discovery can be reached, from the moment in which the failed call is lost to it
// on.
TEST(NewsStatement, IsKeptAfterAnyFailedCall) {
  using Kind = discovery::FailedCall::Kind;
  for (const discovery::StalenessRules& rules : AllRules()) {
    const discovery::PollPolicy terms = discovery::PollPolicy::For(rules);
    const runtime::Duration most =
        discovery::AllowedBy(rules, discovery::StalenessCase::kAfterOutage) - discovery::MarginOf(rules);
    for (const bool watch : {false, true}) {
      for (int in_row = 1; in_row <= (watch ? 1 : 4); ++in_row) {
        const runtime::Duration patience = watch        ? terms.wait + terms.watch_patience
                                           : in_row > 1 ? terms.retry_patience
                                                        : terms.list_patience;
        for (const double spread : {0.0, 0.3, 0.999}) {
          const auto pause = [&](Kind kind, runtime::Duration lasted) {
            return terms.PauseAfter({kind, watch, in_row, lasted}, spread);
          };
          const runtime::Duration silent =
              discovery::AllowedBy(
                  rules, watch ? discovery::StalenessCase::kWatch : discovery::StalenessCase::kAfterOutage) -
              discovery::MarginOf(rules);
          EXPECT_LE(patience + pause(Kind::kSilent, patience) + terms.answer, silent)
              << Text(rules) << in_row;
          for (int tenth = 0; tenth <= 10; ++tenth) {
            const runtime::Duration lasted = patience * tenth / 10;
            const runtime::Duration since =
                watch ? runtime::Duration::zero() : lasted;  // a watch would have told until it broke
            EXPECT_LE(since + pause(Kind::kFault, lasted) + terms.answer, most) << Text(rules) << in_row;
            EXPECT_LE(pause(Kind::kOlder, lasted), terms.fault_pause) << Text(rules) << in_row;
            // And is no hammering.
            EXPECT_GE(pause(Kind::kFault, lasted),
                      std::min<runtime::Duration>(terms.fault_pause, milliseconds(25)));
            const runtime::Duration rhythm = in_row > 1 && rules.on_request
                                                 ? std::min<runtime::Duration>(seconds(3), terms.retry_within)
                                                 : runtime::Duration::zero();
            EXPECT_GE(lasted + pause(Kind::kFault, lasted), rhythm);
          }
        }
      }
    }
  }
}

// The module's own asking, where no loop of ours stands between it and discovery: the failed call and the
// next take up to the service's 2 s each.
TEST(NewsStatement, IsKeptByTheModuleAtAnySetting) {
  for (const int poll_within : {1, 5, 10, 30, 600}) {
    for (int seed = 1; seed <= 20; ++seed) {
      balancer::Settings settings = balancer::testing::DefaultSettings();
      settings.membership_on_request = true;
      settings.rules.poll_within = seconds(poll_within);
      balancer::testing::World world(settings, seed);
      world.List(1);
      world.Do(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}});
      const auto failed = world.now;
      while (world.subscribed == 1 && world.now - failed < seconds(5)) world.Advance(milliseconds(10));
      EXPECT_LE(world.now - failed, seconds(2)) << poll_within << " s, seed " << seed;
      EXPECT_GE(world.now - failed, milliseconds(100)) << poll_within << " s, seed " << seed;
    }
  }
}

TEST(NewsStatement, WatchesOfAllThatHeardNewsTogetherAreOverAtDifferentMoments) {
  const discovery::PollPolicy asked = discovery::PollPolicy::For(Rules(true, milliseconds(500)));
  EXPECT_EQ(asked.WaitAfter(true, 0), milliseconds(2500));
  EXPECT_EQ(asked.WaitAfter(true, 0.5), milliseconds(3750));
  EXPECT_EQ(asked.WaitAfter(false, 0), asked.wait);
  const discovery::PollPolicy pushed = discovery::PollPolicy::For(Rules(false, milliseconds(500)));
  EXPECT_EQ(pushed.WaitAfter(true, 0), pushed.wait);
}

TEST(NewsStatement, FiguresOfTheUsualDrain) {
  struct Row {
    bool on_request;
    discovery::StalenessCase news;
    int allowed_ms, worst_ms;
  };
  const Row rows[] = {{false, discovery::StalenessCase::kWatch, 500, 375},
                      {false, discovery::StalenessCase::kList, 500, 175},
                      {false, discovery::StalenessCase::kAfterOutage, 500, 375},
                      {false, discovery::StalenessCase::kMoved, 4500, 175},
                      {false, discovery::StalenessCase::kNewProcess, 500, 175},
                      {true, discovery::StalenessCase::kWatch, 7500, 7375},
                      {true, discovery::StalenessCase::kList, 6500, 6000},
                      {true, discovery::StalenessCase::kAfterOutage, 6500, 6000},
                      {true, discovery::StalenessCase::kMoved, 6500, 6000},
                      {true, discovery::StalenessCase::kNewProcess, 6500, 6000}};
  for (const Row& row : rows) {
    const discovery::StalenessRules rules = Rules(row.on_request, milliseconds(500));
    const int number = static_cast<int>(row.news);
    EXPECT_EQ(discovery::AllowedBy(rules, row.news), milliseconds(row.allowed_ms))
        << row.on_request << number;
    EXPECT_EQ(discovery::WorstOf(discovery::PollPolicy::For(rules), row.news), milliseconds(row.worst_ms))
        << row.on_request << number;
  }
}

TEST(NewsStatement, DrainsBeyondTheUsualAreTakenAsTheNearestOne) {
  for (const int drain : {0, 1, 50, 100}) {
    EXPECT_EQ(discovery::PollPolicy::For(Rules(false, milliseconds(drain))).wait, milliseconds(40));
  }
  EXPECT_EQ(discovery::PollPolicy::For(Rules(false, milliseconds(150))).wait, milliseconds(60));
  EXPECT_EQ(discovery::PollPolicy::For(Rules(false, std::chrono::hours(1))).wait, milliseconds(800));
}

TEST(NewsStatement, IsOfTheSettings) {
  json text = testing::Settings();
  EXPECT_EQ(simulator_adapter::ParseSettings(text).rules.drain_within, milliseconds(500));  // not told
  text["Rules"]["StopSendingWithin"] = 800000;
  text["Rules"]["MustAskIn"] = 7000000;
  text["MembershipMode"] = "on_request";
  const discovery::StalenessRules rules =
      discovery::StalenessRules::Of(simulator_adapter::ParseSettings(text));
  EXPECT_TRUE(rules.on_request);
  EXPECT_EQ(rules.drain_within, milliseconds(800));
  EXPECT_EQ(rules.poll_within, seconds(7));
}

// ---- A fleet whose service was away ----

// What 300 sidecars ask of the service, in made-up time: it is away from 0 on for `away`.
class Fleet {
 public:
  enum class Was { kWatching, kInStep, kJustStarted };
  static constexpr int kSidecars = 300;

  // `each_second`: so many calls it takes when it is back, and turns the others away.
  Fleet(discovery::FailedCall::Kind way, Was was, runtime::Duration away, int each_second = kSidecars * 1000)
      : terms_(discovery::PollPolicy::For(Rules(true, milliseconds(500)))),
        way_(way),
        was_(was),
        away_(away) {
    std::vector<std::pair<runtime::Duration, int>> due;  // next calls, and whose
    for (int i = 0; i < kSidecars; ++i) due.emplace_back(First(i), i);
    failures_.assign(kSidecars, was == Was::kJustStarted ? 0 : 1);
    const auto later = std::greater<>();
    std::make_heap(due.begin(), due.end(), later);
    std::vector<runtime::Duration> taken;
    while (!due.empty()) {
      std::pop_heap(due.begin(), due.end(), later);
      const auto [at, sidecar] = due.back();
      due.pop_back();
      starts_.push_back(at);
      const bool back = at >= away_;
      if (back) first_ = std::max(first_, at - away_);
      const auto same_second = [from = at - seconds(1)](runtime::Duration time) { return time > from; };
      if (back &&
          std::count_if(taken.rbegin(), taken.rbegin() + std::min<std::size_t>(taken.size(), each_second),
                        same_second) < each_second) {
        taken.push_back(at);
        last_ = at - away_;
        continue;
      }
      const bool silent = !back && way_ == discovery::FailedCall::Kind::kSilent;
      const runtime::Duration lasted = silent ? terms_.retry_patience : runtime::Duration::zero();
      const auto kind = silent ? discovery::FailedCall::Kind::kSilent : discovery::FailedCall::Kind::kFault;
      due.emplace_back(at + lasted + terms_.PauseAfter({kind, false, ++failures_[sidecar], lasted}, Draw()),
                       sidecar);
      std::push_heap(due.begin(), due.end(), later);
    }
  }

  runtime::Duration first() const { return first_; }  // from the return until each had called
  runtime::Duration last() const { return last_; }    // and until each was answered
  // The most in any second, from this time on.
  int Busiest(runtime::Duration from) const {
    int most = 0;
    auto begin = std::lower_bound(starts_.begin(), starts_.end(), from);
    for (auto end = begin; end != starts_.end(); ++end) {
      while (*begin <= *end - seconds(1)) ++begin;
      most = std::max(most, static_cast<int>(end - begin) + 1);
    }
    return most;
  }

 private:
  double Draw() { return std::uniform_real_distribution<>()(random_); }

  runtime::Duration First(int sidecar) {
    if (was_ == Was::kJustStarted) return runtime::Duration::zero();
    if (way_ == discovery::FailedCall::Kind::kFault)
      return terms_.PauseAfter({way_, true, 1, seconds(1)}, Draw());
    if (was_ == Was::kInStep) return terms_.WaitAfter(true, Draw()) + terms_.watch_patience;
    // Watches were begun at different moments.
    return (terms_.wait * (sidecar + 1)) / kSidecars + terms_.watch_patience;
  }

  const discovery::PollPolicy terms_;
  const discovery::FailedCall::Kind way_;
  const Was was_;
  const runtime::Duration away_;
  std::mt19937_64 random_{7};
  std::vector<int> failures_;
  std::vector<runtime::Duration> starts_;
  runtime::Duration first_{};
  runtime::Duration last_{};
};

TEST(Return, IsNoStormAndFindsEachSidecarInTime) {
  using Was = Fleet::Was;
  struct Row {
    discovery::FailedCall::Kind way;
    Was was;
    int busiest;  // calls in the worst second from the return on
  };
  // 75 are the least where each calls within 4 s: twice that. Those that were given up together have 1.5 s to
  // spread over, which is 200 and what chance adds.
  const Row rows[] = {{discovery::FailedCall::Kind::kFault, Was::kWatching, 150},
                      {discovery::FailedCall::Kind::kSilent, Was::kWatching, 150},
                      {discovery::FailedCall::Kind::kSilent, Was::kInStep, 225},
                      {discovery::FailedCall::Kind::kFault, Was::kJustStarted, 150},
                      {discovery::FailedCall::Kind::kSilent, Was::kJustStarted, 225}};
  for (const Row& row : rows) {
    for (const int away_ms : {100, 700, 1500, 3000, 8000, 30000, 300000}) {
      const Fleet fleet(row.way, row.was, milliseconds(away_ms));
      const std::string text =
          std::to_string(static_cast<int>(row.way)) + std::to_string(static_cast<int>(row.was)) + ", away " +
          std::to_string(away_ms) + " ms: " + std::to_string(fleet.Busiest(milliseconds(away_ms)));
      EXPECT_LE(fleet.Busiest(milliseconds(away_ms)), row.busiest) << text;
      // A watch that fell silent is out for all of its wait, and its patience.
      const bool watches = row.way == discovery::FailedCall::Kind::kSilent && row.was != Was::kJustStarted;
      EXPECT_LE(fleet.first(), watches ? milliseconds(5375) : milliseconds(4000)) << text;
    }
  }
}

// The least that a service takes is a call from each in 8 s; the others it turns away at once.
TEST(Return, OfAServiceThatIsOverbookedIsNoStormEither) {
  for (const auto way : {discovery::FailedCall::Kind::kFault, discovery::FailedCall::Kind::kSilent}) {
    for (const int away_ms : {700, 8000, 30000}) {
      const Fleet fleet(way, Fleet::Was::kWatching, milliseconds(away_ms), Fleet::kSidecars / 8);
      EXPECT_LE(fleet.Busiest(milliseconds(away_ms)), 150) << away_ms;
      EXPECT_LE(fleet.last(), seconds(15)) << away_ms;
    }
  }
}

// ---- Lists ----

dispatch::MembershipList Parsed(const json& targets) {
  return discovery::ParseList(json{{"rev", 1}, {"all", true}, {"targets", targets}});
}

TEST(Lists, WhatIsSaidLastOfAnIdCountsOnce) {
  const auto list = Parsed({Target("u1", "127.0.0.1:1", "active", 5), Target("u2", "127.0.0.1:2"),
                            Target("u1", "127.0.0.1:3", "leaving", 9)});
  ASSERT_EQ(list.update.upstreams.size(), 2U);
  EXPECT_EQ(list.update.upstreams[0].id.value, "u1");
  EXPECT_EQ(list.update.upstreams[0].state, UpstreamState::kDraining);
  EXPECT_EQ(list.locations.at("u1").state, UpstreamState::kDraining);
  EXPECT_EQ(list.locations.at("u1").endpoint.port(), 3);
  EXPECT_EQ(list.locations.at("u1").boot_ms, 9);
  EXPECT_EQ(list.update.upstreams[1].id.value, "u2");
}

// ---- The loop ----

// Where in a call its silence begins.
enum class Point { kBeforeItIsRead, kBeforeTheHead, kInTheHead, kInTheBody };
constexpr Point kPoints[] = {Point::kBeforeItIsRead, Point::kBeforeTheHead, Point::kInTheHead,
                             Point::kInTheBody};

std::string Whole(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Indented(int revision) {
  return json{{"rev", revision}, {"all", true}, {"targets", json::array({Target("u1", "127.0.0.1:1")})}}.dump(
      2);
}

// Tells its revision; a call from `silent_from` on, `silent` of them, falls silent for good. Watches it holds
// until they are over, unless there is something newer.
class Source {
 public:
  struct Seen {
    std::string target;
    runtime::TimePoint at;
  };
  Source() : peer_([this](Wire& wire, int) { Serve(wire); }) {}

  runtime::Endpoint endpoint() const { return *runtime::ParseEndpoint(peer_.address()); }
  void FallSilent(Point point, int calls) {
    const std::lock_guard lock(mutex_);
    point_ = point;
    silent_left_ = calls;
  }
  void AnswerWith(std::string text, int calls) {
    const std::lock_guard lock(mutex_);
    text_ = std::move(text);
    text_left_ = calls;
  }
  void TakeForAList(runtime::Duration time) { list_takes_ = time; }  // before the first call
  void Tell(int revision) { revision_ = revision; }
  int silenced() const { return silenced_; }
  std::vector<Seen> seen() const {
    const std::lock_guard lock(mutex_);
    return seen_;
  }

 private:
  enum class Way { kAnswer, kSilent, kText };

  Way Next(const std::string& target) {
    const std::lock_guard lock(mutex_);
    seen_.push_back({target, runtime::Now()});
    if (silent_left_ > 0) return --silent_left_, Way::kSilent;
    if (text_left_ > 0) return --text_left_, Way::kText;
    return Way::kAnswer;
  }

  void Serve(Wire& wire) {
    while (const auto request = wire.ReadRequest()) {
      const std::string target(request->target());
      const Way way = Next(target);
      if (way == Way::kSilent) return Silent(wire);
      if (way == Way::kText) {
        wire.Write(text_);
        return;
      }
      if (const auto at = target.find("index="); at != std::string::npos) {
        const int index = std::stoi(target.substr(at + 6));
        const auto until = runtime::Now() + milliseconds(std::stoi(target.substr(target.find("wait=") + 5)));
        while (revision_ <= index && runtime::Now() < until) std::this_thread::sleep_for(milliseconds(2));
      }
      const std::string list = Whole(Indented(revision_));
      // Of a list what it says is from when it was begun: nothing is later.
      if (target.find("index=") == std::string::npos) std::this_thread::sleep_for(list_takes_);
      if (!wire.Write(list)) return;
    }
  }

  void Silent(Wire& wire) {
    const std::string text = Whole(Indented(revision_));
    const std::size_t head = text.find("\r\n\r\n") + 4;
    if (point_ == Point::kInTheHead) wire.Write(text.substr(0, head / 2));
    if (point_ == Point::kInTheBody) wire.Write(text.substr(0, head + 10));
    ++silenced_;
    wire.ReadsEnd();
  }

  mutable std::mutex mutex_;
  std::vector<Seen> seen_;
  Point point_ = Point::kBeforeTheHead;
  std::string text_;
  runtime::Duration list_takes_{};
  int silent_left_ = 0;
  int text_left_ = 0;
  std::atomic<int> revision_{1};
  std::atomic<int> silenced_{0};
  Peer peer_;
};

// The loop under test, run in this thread.
class Loop {
 public:
  Loop(const discovery::PollPolicy& terms, const runtime::Endpoint& endpoint)
      : discovery(io, endpoint, terms, 7, start_times_, log_, [this](dispatch::MembershipList list) {
          revision = static_cast<int>(list.revision);
          ++lists;
        }) {}

  bool Until(const std::function<bool()>& condition, runtime::Duration most = seconds(20)) {
    const runtime::TimePoint end = runtime::Now() + most;
    while (!condition()) {
      if (runtime::Now() > end) return false;
      io.restart();
      io.run_one_for(milliseconds(2));
    }
    return true;
  }
  void For(runtime::Duration time) {
    Until([] { return false; }, time);
  }
  int LogLines() const {
    const std::string text = text_.str();
    return static_cast<int>(std::count(text.begin(), text.end(), '\n'));
  }

  int revision = 0;
  int lists = 0;
  boost::asio::io_context io;

 private:
  dispatch::StartTimes start_times_{runtime::ReadClocks()};
  std::ostringstream text_;
  runtime::Logger log_{"test", text_};

 public:
  discovery::Discovery discovery;
};

// Beyond what the statement allows, for a machine that is busy with other tests and sanitizers.
constexpr runtime::Duration kSlack = milliseconds(300);
constexpr runtime::Duration kDrain = milliseconds(500);

discovery::PollPolicy ShortAsked() {
  discovery::PollPolicy terms = discovery::PollPolicy::For(Rules(true, kDrain));
  terms.wait = milliseconds(300);
  terms.watch_patience = milliseconds(100);
  terms.list_patience = terms.retry_patience = milliseconds(300);
  terms.fault_pause = milliseconds(50);
  terms.retry_within = milliseconds(500);
  terms.turned_away_least = milliseconds(300);
  terms.answer = milliseconds(200);
  return terms;
}

// Calls from this one on come in the rhythm of a run of failures: no sooner and no later after one another
// than the terms say.
void ExpectRhythm(const discovery::PollPolicy& terms, const std::vector<Source::Seen>& seen,
                  std::size_t from) {
  for (std::size_t i = from; i < seen.size(); ++i) {
    const runtime::Duration gap = seen[i].at - seen[i - 1].at;
    EXPECT_GE(gap, terms.retry_patience - milliseconds(50)) << i;  // the source takes note a little late
    EXPECT_LE(gap, terms.retry_within + kSlack) << i;
    EXPECT_EQ(seen[i].target, "/discovery/hosts?index=1&wait=1") << i;  // from what is held, and no watch
  }
}

class Silence : public ::testing::TestWithParam<Point> {};

// The news comes just after the last call that is silent has begun: nothing is later.
TEST_P(Silence, OfAnAgentIsOverInTimeForTheNewsAfterIt) {
  const discovery::StalenessRules rules = Rules(false, kDrain);
  for (const int calls : {1, 2, 3}) {
    Source source;
    Loop loop(discovery::PollPolicy::For(rules), source.endpoint());
    loop.discovery.Ask();
    ASSERT_TRUE(loop.Until([&] { return loop.lists >= 2; }));  // a watch has been over
    source.FallSilent(GetParam(), calls);
    ASSERT_TRUE(loop.Until([&] { return source.silenced() == calls; }));
    const runtime::TimePoint told = runtime::Now();
    source.Tell(2);
    ASSERT_TRUE(loop.Until([&] { return loop.revision == 2; }));
    const discovery::StalenessCase news =
        calls == 1 ? discovery::StalenessCase::kWatch : discovery::StalenessCase::kAfterOutage;
    EXPECT_LE(runtime::Now() - told, discovery::AllowedBy(rules, news) + kSlack) << calls;
    EXPECT_EQ(loop.LogLines(), 2) << calls;  // its beginning and its end
  }
}

TEST_P(Silence, OfANewAgentOrToANewProcessIsOverInTime) {
  const discovery::StalenessRules rules = Rules(false, kDrain);
  for (const bool moved : {false, true}) {
    Source first;
    Source source;
    source.FallSilent(GetParam(), 1);
    Loop loop(discovery::PollPolicy::For(rules), moved ? first.endpoint() : source.endpoint());
    loop.discovery.Ask();
    if (moved) {
      ASSERT_TRUE(loop.Until([&] { return loop.lists >= 1; }));
      loop.discovery.MoveTo(source.endpoint());
    }
    source.Tell(7);
    const runtime::TimePoint told = runtime::Now();
    ASSERT_TRUE(loop.Until([&] { return loop.revision == 7; }));
    EXPECT_LE(runtime::Now() - told, kDrain + kSlack) << moved;
  }
}

TEST_P(Silence, OfAWatchAtTheServiceIsAskedAfterOnceAtOnce) {
  const discovery::PollPolicy terms = ShortAsked();
  Source source;
  Loop loop(terms, source.endpoint());
  loop.discovery.Ask();
  ASSERT_TRUE(loop.Until([&] { return loop.lists >= 2; }));
  source.FallSilent(GetParam(), 1);
  ASSERT_TRUE(loop.Until([&] { return source.silenced() == 1; }));
  const runtime::TimePoint begun = runtime::Now();
  source.Tell(2);
  ASSERT_TRUE(loop.Until([&] { return loop.revision == 2; }));
  EXPECT_LE(runtime::Now() - begun, discovery::WorstOf(terms, discovery::StalenessCase::kWatch) + kSlack);
  for (const auto& call : source.seen()) {
    if (call.at > begun) {
      EXPECT_NE(call.target.find("?index=1&wait=1"), std::string::npos) << call.target;  // from what is held
      break;
    }
  }
}

TEST_P(Silence, OfAWatchAndWhatFollowedItIsAskedAfterInARhythm) {
  const discovery::PollPolicy terms = ShortAsked();
  Source source;
  Loop loop(terms, source.endpoint());
  loop.discovery.Ask();
  ASSERT_TRUE(loop.Until([&] { return loop.lists >= 2; }));
  source.FallSilent(GetParam(), 1000);
  ASSERT_TRUE(loop.Until([&] { return source.silenced() == 1; }));
  const std::size_t watch = source.seen().size() - 1;
  ASSERT_TRUE(loop.Until([&] { return source.silenced() == 6; }));
  ExpectRhythm(terms, source.seen(), watch + 2);
  source.FallSilent(GetParam(), 0);
  source.Tell(2);
  const runtime::TimePoint back = runtime::Now();
  ASSERT_TRUE(loop.Until([&] { return loop.revision == 2; }));
  EXPECT_LE(runtime::Now() - back,
            discovery::WorstOf(terms, discovery::StalenessCase::kAfterOutage) + kSlack);
  EXPECT_EQ(loop.LogLines(), 2);
}

TEST_P(Silence, OfAWholeListFromTheServiceIsAskedAfterOnce) {
  const discovery::PollPolicy terms = ShortAsked();
  Source source;
  source.FallSilent(GetParam(), 1);
  Loop loop(terms, source.endpoint());
  loop.discovery.Ask();
  const runtime::TimePoint begun = runtime::Now();
  ASSERT_TRUE(loop.Until([&] { return loop.revision == 1; }));
  EXPECT_LE(runtime::Now() - begun, discovery::WorstOf(terms, discovery::StalenessCase::kList) + kSlack);
  EXPECT_EQ(loop.discovery.counts().whole_asked, 2U);
}

INSTANTIATE_TEST_SUITE_P(Points, Silence, ::testing::ValuesIn(kPoints));

TEST(Loop, ServiceThatTurnsCallsAwayIsAskedInTheSameRhythm) {
  for (const std::string text : {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", ""}) {
    const discovery::PollPolicy terms = ShortAsked();
    Source source;
    Loop loop(terms, source.endpoint());
    loop.discovery.Ask();
    ASSERT_TRUE(loop.Until([&] { return loop.lists >= 2; }));
    source.AnswerWith(text, 1000);
    ASSERT_TRUE(loop.Until([&] { return loop.discovery.counts().failed >= 1; }));
    const std::size_t turned_away = source.seen().size();
    const runtime::TimePoint at = runtime::Now();
    ASSERT_TRUE(loop.Until([&] { return source.seen().size() >= turned_away + 4; }));
    EXPECT_GE(source.seen()[turned_away].at - at, terms.fault_pause - milliseconds(10)) << text;
    EXPECT_LE(source.seen()[turned_away].at - at, terms.retry_within + kSlack) << text;
    ExpectRhythm(terms, source.seen(), turned_away + 1);
    EXPECT_EQ(loop.LogLines(), 1);
  }
}

// All processes of a fleet may have started together: their watches would be given up together, and late.
TEST(Loop, FirstCallOfAProcessThatHoldsAListIsNoWatch) {
  Source source;
  Loop loop(ShortAsked(), source.endpoint());
  loop.discovery.Hold(1);
  loop.discovery.Ask();
  ASSERT_TRUE(loop.Until([&] { return loop.lists >= 2; }));
  EXPECT_EQ(source.seen()[0].target, "/discovery/hosts?index=1&wait=1");
  EXPECT_EQ(source.seen()[1].target, "/discovery/hosts?index=1&wait=300");
}

// In the turn of the first move its call is out; and while a pause after a failure is on.
TEST(Loop, MovedTwiceInOneTurnFollowsTheLastOnly) {
  for (const bool on_request : {false, true}) {
    for (const bool outage : {false, true}) {
      Source first;
      Source second;
      Source third;
      third.Tell(3);
      if (outage) first.AnswerWith("", 1000);
      Loop loop(discovery::PollPolicy::For(Rules(on_request, kDrain)), first.endpoint());
      loop.discovery.Ask();
      ASSERT_TRUE(loop.Until([&] { return outage ? loop.discovery.counts().failed > 0 : loop.lists > 0; }));
      loop.discovery.MoveTo(second.endpoint());
      loop.discovery.MoveTo(third.endpoint());
      const std::size_t before = first.seen().size();
      ASSERT_TRUE(loop.Until([&] { return loop.revision == 3; }));
      loop.For(milliseconds(300));
      EXPECT_EQ(first.seen().size(), before) << on_request << outage;
      EXPECT_EQ(second.seen().size(), 0U) << on_request << outage;
    }
  }
}

// It takes longer than the first call for a whole list is given, or than any is, each time; and so does its
// next list after each silent watch.
TEST(Loop, AgentThatIsSlowToGiveAListIsHeardInItsTime) {
  for (const int takes_ms : {200, 500, 2000}) {
    for (const int drain_ms : {100, 500}) {
      Source source;
      source.TakeForAList(milliseconds(takes_ms));
      Loop loop(discovery::PollPolicy::For(Rules(false, milliseconds(drain_ms))), source.endpoint());
      const runtime::TimePoint begun = runtime::Now();
      loop.discovery.Ask();
      ASSERT_TRUE(loop.Until([&] { return loop.lists >= 1; })) << takes_ms << ' ' << drain_ms;
      EXPECT_LE(runtime::Now() - begun, milliseconds(takes_ms + 2 * drain_ms) + kSlack)
          << takes_ms << ' ' << drain_ms;
      EXPECT_GT(loop.discovery.counts().failed, 0U);
      source.FallSilent(Point::kBeforeTheHead, 1);
      ASSERT_TRUE(loop.Until([&] { return source.silenced() == 1; }));
      // The next list is begun, and says nothing of what comes now.
      const std::size_t calls = source.seen().size();
      ASSERT_TRUE(loop.Until([&] { return source.seen().size() > calls; }));
      source.Tell(2);
      const runtime::TimePoint told = runtime::Now();
      ASSERT_TRUE(loop.Until([&] { return loop.revision == 2; })) << takes_ms << ' ' << drain_ms;
      EXPECT_LE(runtime::Now() - told, seconds(6) + kSlack) << takes_ms << ' ' << drain_ms;
    }
  }
}

// Two calls are out: the one that was given up answers first, is listened to from then on, and the other is
// dropped.
TEST(Loop, AnsweredByACallThatWasGivenUpGoesOnWithIt) {
  const discovery::PollPolicy terms = discovery::PollPolicy::For(Rules(false, kDrain));
  const runtime::Duration takes = terms.list_patience + terms.retry_patience * 5 / 6;
  Source source;
  source.TakeForAList(takes);
  Loop loop(terms, source.endpoint());
  const runtime::TimePoint begun = runtime::Now();
  loop.discovery.Ask();
  ASSERT_TRUE(loop.Until([&] { return loop.lists >= 3; }));
  // The one beside it would have been a list more, between two watches.
  EXPECT_GE(runtime::Now() - begun, takes + 2 * terms.wait - milliseconds(20));
  EXPECT_EQ(loop.LogLines(), 2);
  for (std::size_t i = 3; i < source.seen().size(); ++i) {
    EXPECT_NE(source.seen()[i].target.find("wait="), std::string::npos) << i;  // watches only, since
  }
}

TEST(Loop, AgentThatIsSilentOrBrokenIsNotAskedInASpin) {
  const discovery::PollPolicy terms = discovery::PollPolicy::For(Rules(false, kDrain));
  const runtime::Duration time = seconds(2);
  testing::BlackHole hole;
  testing::Refusing refusing;
  Source malformed;
  malformed.AnswerWith(Whole(R"({"rev":99,"all":true,"targets":[{"uid":7}]})"), 100000);
  Source broken;
  broken.AnswerWith("", 100000);
  Source silent;
  silent.FallSilent(Point::kBeforeTheHead, 100000);
  struct Row {
    runtime::Endpoint endpoint;
    runtime::Duration first, each;  // what the first call takes, with the pause, and what each one more
  };
  for (const Row& row :
       {Row{*runtime::ParseEndpoint(hole.address()), terms.list_patience, terms.retry_patience},
        Row{*runtime::ParseEndpoint(refusing.address()), terms.fault_pause, terms.fault_pause},
        Row{malformed.endpoint(), terms.fault_pause, terms.fault_pause},
        Row{broken.endpoint(), terms.fault_pause, terms.fault_pause},
        Row{silent.endpoint(), terms.list_patience, terms.retry_patience}}) {
    Loop loop(terms, row.endpoint);
    loop.discovery.Ask();
    loop.For(time);
    EXPECT_LE(loop.discovery.counts().calls, static_cast<std::uint64_t>((time - row.first) / row.each) + 2);
    EXPECT_GE(loop.discovery.counts().calls, static_cast<std::uint64_t>(time / row.each) / 2);
    EXPECT_EQ(loop.LogLines(), 1);
  }
}

TEST(Loop, ChangesOlderThanWhatIsHeldAreNotTaken) {
  const auto changes = [](int revision) {
    return Whole(
        json{{"rev", revision}, {"all", false}, {"targets", json::array({Target("u1", "", "left")})}}.dump());
  };
  Source source;
  source.Tell(5);
  Loop loop(discovery::PollPolicy::For(Rules(false, kDrain)), source.endpoint());
  loop.discovery.Ask();
  ASSERT_TRUE(loop.Until([&] { return loop.lists >= 1; }));
  source.AnswerWith(changes(4), 1);
  ASSERT_TRUE(loop.Until([&] { return loop.discovery.counts().failed == 1; }));
  EXPECT_EQ(loop.revision, 5);
  ASSERT_TRUE(loop.Until([&] { return loop.discovery.counts().whole == 2; }, seconds(5)));
  EXPECT_EQ(loop.discovery.counts().changes, 0U);
  EXPECT_EQ(loop.discovery.counts().whole_asked, 2U);
}

}  // namespace
}  // namespace mothrack
