// RetryPolicy: which retries the class of a request and the retry budget allow.
#include "balancer/retry_policy.h"

#include <memory>
#include <optional>

#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct RequestWithAttempt {
  RequestClass request_class;
  Request request;
};

// A request with one attempt, sent at time zero to an upstream of zone "a", cell 1.
RequestWithAttempt MakeRequest(Effect effect, KeyScope scope, std::optional<Outcome> outcome) {
  RequestWithAttempt tested;
  tested.request_class.effect = effect;
  tested.request_class.key_scope = scope;
  tested.request_class.key_window = seconds(4);
  tested.request.deadline = TimePoint{seconds(30)};
  tested.request.latency_objective = milliseconds(400);
  const auto upstream = std::make_shared<Upstream>();
  upstream->info.zone = "a";
  upstream->info.cell = 1;
  tested.request.attempts.push_back({upstream, TimePoint{}});
  tested.request.attempts[0].outcome = outcome;
  return tested;
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
  for (const Case& test : cases) {
    RequestWithAttempt tested = MakeRequest(test.effect, test.scope, test.outcome);
    tested.request.request_class = &tested.request_class;
    UpstreamInfo next;
    next.zone = test.zone;
    next.cell = 2;
    EXPECT_EQ(policy.MaySend(tested.request, next, TimePoint{seconds(test.at_s)}), test.may_send)
        << &test - cases;
  }
}

TEST(RetryPolicy, RetriesStopWhenTheBudgetIsSpentUnlessNothingRan) {
  const Limits limits;
  RetryPolicy policy(limits);
  RequestWithAttempt tested = MakeRequest(Effect::kSafe, KeyScope::kAll, Outcome::kError);
  tested.request.request_class = &tested.request_class;
  for (const bool allowed : {true, true, true, false})
    EXPECT_EQ(policy.TakeRetry(tested.request, TimePoint{}), allowed);
  tested.request.attempts[0].outcome = Outcome::kFull;
  EXPECT_TRUE(policy.TakeRetry(tested.request, TimePoint{}));
  EXPECT_FALSE(policy.TakeRetry(tested.request, TimePoint{milliseconds(400)}));
}

}  // namespace
}  // namespace mothrack::balancer
