// The roles of a voter, and the only transitions between them.
//
// These are Raft's roles with its pre-vote (section 9.6, see voter.h), and two more: a leader is in the role
// Establishing until its first value is committed, and a voter whose file is stale takes no part until it has
// rejoined.
//
//   event            from           to             when
//   ElectionTimeout  Follower       PreCandidate   no promise is in force, and this voter's delay is over
//   PreVoteWon       PreCandidate   Candidate      a majority would vote for it
//   ElectionWon      Candidate      Establishing   a majority has voted for it
//   ValueCommitted   Establishing   Leader         a majority has its first value, and its lease holds
//   SteppedDown      all but        Follower       a later term or leader, a timeout, an ended lease, a
//                    Rejoining                     failed write
//   RecordStale      all            Rejoining      its file is behind what it has sent
//   RejoinGranted    Rejoining      Follower       enough others have its new incarnation on disk
//
// docs/design/change_freeze.md, "Rules of a voter", lists the message or time that causes each event, and a
// test checks it row by row. The page's words for Rejoining, PreCandidate, Establishing and Leader are lost,
// asking, taking and coordinator.
#pragma once

#include <cstdint>

namespace mothrack::change_freeze {

// The role of a voter.
enum class VoterRole : std::uint8_t {
  kRejoining,  // its file is stale: asks to rejoin as a later incarnation
  kFollower,
  kPreCandidate,  // asks whether it would win, without changing its term
  kCandidate,     // asks for votes in its own new term
  kEstablishing,  // has won; its first value is not committed yet
  kLeader,        // acts while its lease holds (LeaderLease)
};

// The events of the table above.
enum class RoleEvent : std::uint8_t {
  kElectionTimeout,
  kPreVoteWon,
  kElectionWon,
  kValueCommitted,
  kSteppedDown,
  kRecordStale,
  kRejoinGranted,
};

// The role after `event`. An event without a row for `role` does not change it.
VoterRole NextRole(VoterRole role, RoleEvent event);

}  // namespace mothrack::change_freeze
