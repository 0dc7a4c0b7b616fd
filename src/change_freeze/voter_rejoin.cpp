// Voter: rejoining after its file was found to be stale (docs/design/change_freeze.md, "An old copy of the
// file").
#include <algorithm>

#include "change_freeze/voter.h"

namespace mothrack::change_freeze {

namespace {

// VoterRecord::voted_for of a voter that has rejoined: it grants no vote in this term. No voter has this
// name.
constexpr char kVotedForNobody = '-';

}  // namespace

void Voter::BeginRejoin(TimePoint now) {
  ClearRoleState(now);
  role_ = NextRole(role_, RoleEvent::kRecordStale);
  record_.stale = true;
  wanted_incarnation_ = std::max(wanted_incarnation_, record_.incarnation) + 1;
  latest_ = {};
  rejoin_term_ = 0;
  next_action_ = now;
}

// Adopts the highest term and the latest value that the granting voters know. Anything later that this voter
// may have voted for or stored is invalidated by its new incarnation, which those voters pass on
// (IncarnationTable).
void Voter::FinishRejoin(TimePoint now) {
  record_.stale = false;
  record_.incarnation = wanted_incarnation_;
  record_.term = std::max(record_.term, rejoin_term_);
  record_.voted_for.assign(1, kVotedForNobody);
  if (latest_.version > record_.value_version) {
    record_.value_version = latest_.version;
    record_.value = latest_.value;
  }
  promised_until_ = now + Lengthened(settings_.lease);
  role_ = NextRole(role_, RoleEvent::kRejoinGranted);
  ClearRoleState(now);
}

// An incarnation that was requested before may have been used since, so only a later one is granted.
bool Voter::OnRejoinRequest(const VoterMessage& request) {
  if (request.wanted_incarnation <= incarnations_.Latest(request.from)) return false;
  incarnations_.Observe(request.from, request.wanted_incarnation);
  record_.incarnations[request.from] = request.wanted_incarnation;
  return true;
}

void Voter::OnRejoinResponse(const VoterMessage& response, TimePoint now) {
  if (response.granted && response.wanted_incarnation == wanted_incarnation_) {
    granted_by_[response.from] = response.incarnation;
    rejoin_term_ = std::max(rejoin_term_, response.term);
    KeepLatest(response);
    return;
  }
  const Incarnation latest = incarnations_.Latest(settings_.local_voter);
  const bool refused = !response.granted && !granted_by_.contains(response.from);
  if (refused && latest >= wanted_incarnation_) {
    wanted_incarnation_ = latest;
    BeginRejoin(now);
  }
}

}  // namespace mothrack::change_freeze
