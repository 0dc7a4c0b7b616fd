#include "change_freeze/permits.h"

namespace mothrack::change_freeze {

namespace {
constexpr Duration kForgotten{60'000};  // what has lapsed for so long helps nobody to see why
}  // namespace

bool PermitBook::Heard(const Word& word, TimePoint asked) {
  if (word.term < record_.term) return false;
  if (word.term > record_.term) {
    record_.term = word.term;
    known_.clear();
    version_ = 0;
  }
  // Two answers may overtake each other.
  if (word.version < version_) return false;
  version_ = word.version;
  leaderless_.clear();
  std::erase_if(known_, [&](const auto& entry) { return entry.second.until + kForgotten < asked; });
  const TimePoint until = asked + Shortened(kPermitTime);
  const auto known = known_.find(word.change);
  if (known != known_.end() && until < known->second.until && word.version == known->second.word.version)
    return true;
  known_[word.change] = {word, until};
  return true;
}

PermitBook::Answer PermitBook::May(const std::string& change, ChangeKind kind, std::uint32_t batch,
                                   TimePoint now) const {
  const auto glass = glass_until_.find(change);
  if (glass != glass_until_.end() && now < glass->second) return {Verdict::kGlass, {}};
  const auto it = known_.find(change);
  const bool fresh = it != known_.end() && now < it->second.until;
  if (!fresh) {
    if (!leaderless_.empty()) return {Verdict::kLapsed, leaderless_};
    if (it == known_.end())
      return {Verdict::kNone, "the coordinator has not said that " + change + " may go on"};
    return {Verdict::kLapsed,
            "no word of the coordinator of term " + std::to_string(record_.term) + " for too long"};
  }
  const Word& word = it->second.word;
  if (word.state == Word::State::kBlocked) return {Verdict::kBlocked, word.why};
  if (word.state == Word::State::kNone || word.kind != kind) {
    return {Verdict::kNone, word.why.empty() ? "the coordinator has given no permit for this" : word.why};
  }
  if (batch <= word.batch) return {Verdict::kAllowed, {}};
  if (word.state == Word::State::kPaused) return {Verdict::kPaused, word.why};
  return {Verdict::kNone, "the permit goes to batch " + std::to_string(word.batch)};
}

std::string PermitBook::BreakGlass(const std::string& change, const std::string& who, bool viewer,
                                   const std::string& why, TimePoint now) {
  if (viewer) return "a viewer can't break the glass; ask an operator";
  if (why.empty() || who.empty() || change.empty())
    return "say who breaks the glass, for which change, and why";
  if (record_.untold.size() >= kMostGlass)
    return "the coordinator has not heard of the last " + std::to_string(kMostGlass);
  record_.untold.push_back({++record_.glasses, agent_, change, who, why.substr(0, 200)});
  glass_until_[change] = now + kGlassTime;
  return {};
}

void PermitBook::Told(std::uint64_t number) {
  std::erase_if(record_.untold, [&](const Glass& glass) { return glass.number <= number; });
}

}  // namespace mothrack::change_freeze
