// A digest of the actions of the decision module in 10,000 histories of random events. It guards against
// unintended changes of decisions. A commit that changes decisions on purpose updates the digest and states
// the reason.
#include <algorithm>
#include <cstdint>
#include <cstring>
#include <random>
#include <string>
#include <vector>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

constexpr std::uint64_t kHistories = 10'000;
constexpr int kStepsPerHistory = 80;
// The digest of the actions in all histories.
constexpr std::uint64_t kDigest = 12298423115745304071U;

// FNV-1a, 64 bits.
class Digest {
 public:
  void Add(const std::string& text) {
    for (const char c : text) AddByte(static_cast<unsigned char>(c));
    AddByte(0);
  }
  void Add(std::uint64_t number) {
    for (int i = 0; i < 8; ++i) AddByte(static_cast<unsigned char>(number >> (8 * i)));
  }
  void Add(Duration duration) { Add(static_cast<std::uint64_t>(duration.count())); }
  std::uint64_t value() const { return value_; }

 private:
  void AddByte(unsigned char byte) { value_ = (value_ ^ byte) * 0x100000001b3; }
  std::uint64_t value_ = 0xcbf29ce484222325;
};

// One history: a list that changes, requests of all classes and outcomes of all kinds, all drawn from a
// random generator that is seeded with the number of the history.
class History {
 public:
  explicit History(std::uint64_t number) : random_(number), sidecar_(SettingsOf(number), number) {
    ReplaceList();
  }

  void RunInto(Digest& digest) {
    for (int step = 0; step < kStepsPerHistory; ++step) {
      sidecar_.Advance(Duration(RandomBelow(60'000)));
      RunStep();
    }
    for (const SentAttempt& sent : sidecar_.sent) {
      digest.Add(static_cast<std::uint64_t>(sent.request));
      digest.Add(static_cast<std::uint64_t>(sent.attempt));
      digest.Add(sent.upstream);
      digest.Add(sent.timeout);
      digest.Add(sent.at.time_since_epoch());
    }
    for (const RequestId id : sidecar_.rejected) digest.Add(static_cast<std::uint64_t>(id));
    for (const RequestId id : sidecar_.failed) digest.Add(static_cast<std::uint64_t>(id));
    for (const auto& [request, attempt] : sidecar_.cancelled) {
      digest.Add(static_cast<std::uint64_t>(request));
      digest.Add(static_cast<std::uint64_t>(attempt));
    }
    for (const auto* texts : {&sidecar_.logs, &sidecar_.probed, &sidecar_.closed}) {
      for (const std::string& text : *texts) digest.Add(text);
    }
    digest.Add(static_cast<std::uint64_t>(sidecar_.subscribed));
    digest.Add(sidecar_.last_retry_after);
  }

 private:
  static Settings SettingsOf(std::uint64_t number) {
    Settings settings = DefaultSettings();
    settings.limits.hedging = number % 2 == 0;
    settings.limits.cancel = number % 3 != 0;
    settings.limits.probes = settings.load_by_probe = number % 5 == 0;
    settings.membership_on_request = number % 7 == 0;
    settings.rules.overload_multiple = 4;
    settings.sidecar_index = number % 11;
    settings.sidecar_count = 11;
    return settings;
  }

  std::uint64_t RandomBelow(std::uint64_t bound) { return random_() % bound; }

  void ReplaceList() {
    std::vector<UpstreamInfo> list;
    const std::uint64_t count = 2 + RandomBelow(12);
    for (std::uint64_t i = 0; i < count; ++i) {
      // One draw a statement: the order in which arguments are evaluated differs between compilers.
      const bool draining = RandomBelow(8) == 0;
      const std::uint64_t uid = RandomBelow(16);
      UpstreamInfo info = MakeUpstream("u" + std::to_string(uid),
                                       draining ? UpstreamState::kDraining : UpstreamState::kServing);
      info.zone = "z" + std::to_string(i % 3);
      info.weight = 1 + static_cast<double>(RandomBelow(3));
      if (RandomBelow(2) == 0) info.started = sidecar_.now - std::chrono::seconds(RandomBelow(40));
      list.push_back(std::move(info));
    }
    sidecar_.ReplaceList(std::move(list));
  }

  void RunStep() {
    const std::uint64_t draw = RandomBelow(20);
    if (draw == 0) {
      ReplaceList();
    } else if (draw < 9) {
      const Duration timeout(50'000 + RandomBelow(2'000'000));
      const ClassId request_class{RandomBelow(5)};
      sidecar_.Arrive(request_class, timeout);
    } else {
      EndRandomAttempt();
    }
  }

  // Ends one of the pending attempts with a random outcome; most are served.
  void EndRandomAttempt() {
    std::vector<std::size_t> pending;
    for (std::size_t i = 0; i < sidecar_.sent.size(); ++i) {
      if (i >= ended_.size() || !ended_[i]) pending.push_back(i);
    }
    if (pending.empty()) return;
    const std::size_t chosen = pending[RandomBelow(pending.size())];
    ended_.resize(std::max(ended_.size(), chosen + 1));
    ended_[chosen] = true;
    const SentAttempt sent = sidecar_.sent[chosen];
    const Outcome outcome = RandomBelow(3) > 0 ? Outcome::kServed : static_cast<Outcome>(RandomBelow(8));
    sidecar_.EndAttempt(sent, outcome);
  }

  std::mt19937_64 random_;
  TestSidecar sidecar_;
  std::vector<bool> ended_;
};

TEST(ActionDigest, TenThousandHistoriesAreDecidedAsRecorded) {
  Digest digest;
  for (std::uint64_t number = 0; number < kHistories; ++number) History(number).RunInto(digest);
  EXPECT_EQ(digest.value(), kDigest) << "the decisions differ from those that gave the recorded digest";
}

}  // namespace
}  // namespace mothrack::balancer::testing
