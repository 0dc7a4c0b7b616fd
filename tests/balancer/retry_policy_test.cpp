// Which retries the class of a request and the retry budget allow.
#include "balancer/retry_policy.h"

#include <memory>
#include <optional>

#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Sent {
  RequestClass request_class;
  Request request;
};

// A request with one attempt, sent at time zero to an upstream of zone "a", cell 1.
Sent SentOnce(Effect effect, KeyScope scope, std::optional<Outcome> outcome) {
  Sent sent;
  sent.request_class.effect = effect;
  sent.request_class.key_scope = scope;
  sent.request_class.key_window = seconds(4);
  sent.request.deadline = TimePoint{seconds(30)};
  sent.request.latency_objective = milliseconds(400);
  const auto upstream = std::make_shared<Upstream>();
  upstream->info.zone = "a";
  upstream->info.cell = 1;
  sent.request.attempts.push_back({upstream, TimePoint{}});
  sent.request.attempts[0].outcome = outcome;
  return sent;
}

TEST(RetryPolicy, ARequestIsRepeatedOnlyAsItsClassAllows) {
  using enum Effect;
  using enum KeyScope;
  using enum Outcome;
  struct Case {
    Effect effect;
    KeyScope scope;
    std::optional<Outcome> outcome;
    const char* zone;
    int at_s;
    bool may_send;
  };
  const Case cases[] = {{kSafe, kAll, kError, "b", 1, true},
                        {kSafe, kAll, std::nullopt, "b", 1, false},
                        {kUnsafe, kAll, kError, "a", 1, false},
                        {kUnsafe, kAll, kConnectFailed, "b", 1, true},
                        {kKeyed, kAll, kTimeout, "b", 1, true},
                        {kKeyed, kAll, kTimeout, "b", 2, false},
                        {kKeyed, KeyScope::kZone, kTimeout, "b", 1, false},
                        {kKeyed, KeyScope::kZone, kTimeout, "a", 1, true},
                        {kKeyed, KeyScope::kCell, kTimeout, "a", 1, false},
                        {kSafe, kAll, kError, "b", 30, false}};
  const Limits limits;
  const RetryPolicy policy(limits);
  for (const Case& c : cases) {
    Sent sent = SentOnce(c.effect, c.scope, c.outcome);
    sent.request.request_class = &sent.request_class;
    UpstreamInfo next;
    next.zone = c.zone;
    next.cell = 2;
    EXPECT_EQ(policy.MaySend(sent.request, next, TimePoint{seconds(c.at_s)}), c.may_send) << &c - cases;
  }
}

TEST(RetryPolicy, RetriesStopWhenTheBudgetIsSpentUnlessNothingRan) {
  const Limits limits;
  RetryPolicy policy(limits);
  Sent sent = SentOnce(Effect::kSafe, KeyScope::kAll, Outcome::kError);
  sent.request.request_class = &sent.request_class;
  for (const bool allowed : {true, true, true, false})
    EXPECT_EQ(policy.TakeRetry(sent.request, TimePoint{}), allowed);
  sent.request.attempts[0].outcome = Outcome::kFull;
  EXPECT_TRUE(policy.TakeRetry(sent.request, TimePoint{}));
  EXPECT_FALSE(policy.TakeRetry(sent.request, TimePoint{milliseconds(400)}));
}

}  // namespace
}  // namespace mothrack::balancer
