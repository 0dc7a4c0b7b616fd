// What the decision module does with 10,000 recorded histories, as one number. Work on its code that is to
// leave its decisions as they are must leave the number as it is; a change of a decision states the new one
// with its reason.
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
constexpr int kStepsOfAHistory = 80;
// Of the histories below, as the module of this version decides.
constexpr std::uint64_t kDigest = 12658593274131024050U;

// FNV-1a, 64 bits.
class Digest {
 public:
  void Add(const std::string& text) {
    for (const char c : text) Byte(static_cast<unsigned char>(c));
    Byte(0);
  }
  void Add(std::uint64_t number) {
    for (int i = 0; i < 8; ++i) Byte(static_cast<unsigned char>(number >> (8 * i)));
  }
  void Add(Duration duration) { Add(static_cast<std::uint64_t>(duration.count())); }
  std::uint64_t value() const { return value_; }

 private:
  void Byte(unsigned char byte) { value_ = (value_ ^ byte) * 0x100000001b3; }
  std::uint64_t value_ = 0xcbf29ce484222325;
};

// One history: a list that changes, requests of all classes, and outcomes of all kinds, all drawn from its
// number.
class History {
 public:
  explicit History(std::uint64_t number) : random_(number), world_(SettingsOf(number), number) { Relist(); }

  void PlayInto(Digest& digest) {
    for (int step = 0; step < kStepsOfAHistory; ++step) {
      world_.Advance(Duration(Below(60'000)));
      Step();
    }
    for (const SentAttempt& sent : world_.sent) {
      digest.Add(static_cast<std::uint64_t>(sent.request));
      digest.Add(static_cast<std::uint64_t>(sent.attempt));
      digest.Add(sent.upstream);
      digest.Add(sent.timeout);
      digest.Add(sent.at.time_since_epoch());
    }
    for (const RequestId id : world_.rejected) digest.Add(static_cast<std::uint64_t>(id));
    for (const RequestId id : world_.failed) digest.Add(static_cast<std::uint64_t>(id));
    for (const auto& [request, attempt] : world_.cancelled) {
      digest.Add(static_cast<std::uint64_t>(request));
      digest.Add(static_cast<std::uint64_t>(attempt));
    }
    for (const auto* texts : {&world_.logs, &world_.probed, &world_.closed}) {
      for (const std::string& text : *texts) digest.Add(text);
    }
    digest.Add(static_cast<std::uint64_t>(world_.subscribed));
    digest.Add(world_.last_retry_after);
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

  std::uint64_t Below(std::uint64_t bound) { return random_() % bound; }

  void Relist() {
    std::vector<UpstreamInfo> list;
    const std::uint64_t count = 2 + Below(12);
    for (std::uint64_t i = 0; i < count; ++i) {
      UpstreamInfo info = MakeUpstream("u" + std::to_string(Below(16)),
                                       Below(8) == 0 ? UpstreamState::kDraining : UpstreamState::kServing);
      info.zone = "z" + std::to_string(i % 3);
      info.weight = 1 + static_cast<double>(Below(3));
      if (Below(2) == 0) info.started = world_.now - std::chrono::seconds(Below(40));
      list.push_back(std::move(info));
    }
    world_.ReplaceList(std::move(list));
  }

  void Step() {
    const std::uint64_t what = Below(20);
    if (what == 0) {
      Relist();
    } else if (what < 9) {
      world_.Arrive(ClassId{Below(5)}, Duration(50'000 + Below(2'000'000)));
    } else {
      EndOne();
    }
  }

  // Of the attempts that are out, any, with any outcome; most are served.
  void EndOne() {
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < world_.sent.size(); ++i) {
      if (i >= ended_.size() || !ended_[i]) out.push_back(i);
    }
    if (out.empty()) return;
    const std::size_t chosen = out[Below(out.size())];
    ended_.resize(std::max(ended_.size(), chosen + 1));
    ended_[chosen] = true;
    const SentAttempt sent = world_.sent[chosen];
    const Outcome outcome = Below(3) > 0 ? Outcome::kServed : static_cast<Outcome>(Below(8));
    world_.EndAttempt(sent, outcome);
  }

  std::mt19937_64 random_;
  TestSidecar world_;
  std::vector<bool> ended_;
};

TEST(ActionDigest, TenThousandHistoriesAreDecidedAsRecorded) {
  Digest digest;
  for (std::uint64_t number = 0; number < kHistories; ++number) History(number).PlayInto(digest);
  EXPECT_EQ(digest.value(), kDigest) << "the decisions differ from those of the recorded version";
}

}  // namespace
}  // namespace mothrack::balancer::testing
