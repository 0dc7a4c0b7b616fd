// Voter: pre-votes, votes and campaigns (Raft, 3.4 and 9.6).
#include <algorithm>

#include "change_freeze/voter.h"

namespace mothrack::change_freeze {

using Kind = VoterMessage::Kind;

namespace {

// 64-bit FNV-1a, with an offset of its own (the published one has one more digit). Any hash that is the same
// on every machine would do; another one would change the times of campaigns.
constexpr std::uint64_t kFnvOffset = 1469598103934665603U;
constexpr std::uint64_t kFnvPrime = 1099511628211U;
// Delays differ by sixteenths of the request timeout. A fleet never has more than sixteen voters.
constexpr int kDelaySteps = 16;
constexpr int kDelayShift = 20;  // the low bits of FNV are mixed less well

}  // namespace

// Two voters that campaign at the same time split the votes. So each waits for a delay that depends on its
// name and changes with each campaign. There is no random engine, so that a run of a voter can be reproduced.
Duration Voter::ElectionDelay() {
  std::uint64_t hash = kFnvOffset + ++campaigns_;
  for (const char c : settings_.local_voter) hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  return settings_.request_timeout * static_cast<int>((hash >> kDelayShift) % kDelaySteps) / kDelaySteps;
}

Term Voter::NextCampaignTerm() const { return std::max(record_.term, highest_seen_term_) + 1; }

// Adds one for the voter itself.
bool Voter::HasMajorityOfGrants() const { return incarnations_.CountCurrent(granted_by_) + 1 >= Majority(); }

void Voter::StartPreVote(TimePoint now, std::vector<VoterMessage>& out) {
  role_ = NextRole(role_, RoleEvent::kElectionTimeout);
  granted_by_.clear();
  next_action_ = now + settings_.request_timeout;
  Broadcast(Kind::kPreVoteRequest, NextCampaignTerm(), now, out);
}

void Voter::StartElection(TimePoint now, std::vector<VoterMessage>& out) {
  role_ = NextRole(role_, RoleEvent::kPreVoteWon);
  granted_by_.clear();
  record_.term = NextCampaignTerm();
  record_.voted_for = settings_.local_voter;
  latest_ = {record_.value_version, record_.value};
  next_action_ = now + settings_.request_timeout;
  Broadcast(Kind::kVoteRequest, record_.term, now, out);
}

bool Voter::OnPreVoteRequest(const VoterMessage& request, TimePoint now) const {
  return now >= promised_until_ && request.term > record_.term;
}

bool Voter::OnVoteRequest(const VoterMessage& request, TimePoint now) {
  // While another leader's lease is promised, a higher term is not adopted either; otherwise every voter that
  // was cut off would end a lease.
  if (now >= promised_until_ && request.term > record_.term) {
    record_.term = request.term;
    record_.voted_for = request.from;
    BecomeFollower(now);
  }
  return request.term == record_.term && record_.voted_for == request.from;
}

void Voter::OnPreVoteResponse(const VoterMessage& response) {
  const bool of_this_campaign = response.value_version.term == NextCampaignTerm();
  if (role_ == Role::kPreCandidate && response.granted && of_this_campaign) {
    granted_by_[response.from] = response.incarnation;
  } else if (!response.granted) {
    highest_seen_term_ = std::max(highest_seen_term_, response.term);
  }
}

void Voter::OnVoteResponse(const VoterMessage& response) {
  if (role_ != Role::kCandidate) return;
  granted_by_[response.from] = response.incarnation;
  KeepLatest(response);
}

}  // namespace mothrack::change_freeze
