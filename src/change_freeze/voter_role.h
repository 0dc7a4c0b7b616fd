// The roles of a voter and the only way from one to another.
//
// Raft's roles with its pre-vote (section 9.6, see voter.h), and two more: a leader is established once its
// first value is committed, and a voter whose file is stale takes no part until it has rejoined.
//
//   event            from           to             when
//   ElectionTimeout  Follower       PreCandidate   no promise is in force, and this voter's delay is over
//   PreVoteWon       PreCandidate   Candidate      a majority would vote for it
//   ElectionWon      Candidate      Establishing   a majority has voted for it
//   ValueCommitted   Establishing   Leader         a majority holds its first value, and its lease runs
//   SteppedDown      all but        Follower       a later term or leader, a timeout, an ended lease, a
//                    Rejoining                     failed write
//   RecordStale      all            Rejoining      its file is behind what it has sent
//   RejoinGranted    Rejoining      Follower       enough others hold its new incarnation on disk
//
// docs/design/change_freeze.md, "Rules of a voter", has which message or moment brings which event, and a
// test plays it row by row; its words for Rejoining, PreCandidate, Establishing and Leader are lost, asking,
// taking and coordinator.
#pragma once

#include <cstdint>

namespace mothrack::change_freeze {

enum class VoterRole : std::uint8_t {
  kRejoining,  // its file is stale: it asks to come back as a later incarnation
  kFollower,
  kPreCandidate,  // asks whether it would win, and changes no term for that
  kCandidate,     // asks for votes in a term of its own
  kEstablishing,  // has won; its first value is not yet committed
  kLeader,        // acts while its lease holds (LeaderLease)
};

// When each happens: the table above.
enum class RoleEvent : std::uint8_t {
  kElectionTimeout,
  kPreVoteWon,
  kElectionWon,
  kValueCommitted,
  kSteppedDown,
  kRecordStale,
  kRejoinGranted,
};

// The role after `event`; an event that `role` has no line for leaves the role as it is.
VoterRole NextRole(VoterRole role, RoleEvent event);

}  // namespace mothrack::change_freeze
