// Decides what a planned stop does with each client connection, and until when clients are accepted, so that
// every request has its final answer before the SIGKILL that ends the stop. The table of decisions is in
// docs/design/planned_stop.md.
//
// Only the time and the state of a connection matter, not when its request began: what the SIGKILL finds
// unanswered is lost, whether the request was taken before or after the stop began, and whether or not a
// successor has taken over the address.
//
// A plain value without I/O or clock, not bound to a thread.
#pragma once

#include "runtime/clock.h"

namespace mothrack::http {

// What a client connection is doing, as far as a stop needs it.
enum class ConnectionState {
  kNew,                   // connected recently and has sent nothing, so that a request is likely to follow
  kIdle,                  // waits for a request of which no byte has arrived
  kArriving,              // part of a request has arrived, and no handler has it
  kServing,               // a handler has the request, whose body may still be arriving
  kResponding,            // the response is being written
  kRespondingUntilClose,  // the same, and only the end of the connection marks its end
  kAwaitingClose,         // the last response is written; only the client's close is awaited
};

// What a stop does with a connection.
enum class StopStep {
  kNone,       // waits for the connection to get on by itself
  kHalfClose,  // ends the connection, unless bytes of a request are unread
  kRefuse,     // answers that the request had no effect, as no handler has it
  kFail,       // answers that the request has failed
  kBreakOff,   // resets the connection, so that the client detects that its response is truncated
  kClose,      // closes without waiting any longer for the client's close
};

class PlannedStop {
 public:
  // `begin` is the time of the signal; `longest_deadline` that of the deployment's request classes.
  PlannedStop(runtime::TimePoint begin, runtime::Duration longest_deadline);

  StopStep StepFor(ConnectionState state, runtime::TimePoint now) const;
  // Whether new clients are still accepted.
  bool AcceptsClients(runtime::TimePoint now) const { return now <= accept_until_; }
  // Whether clients in the listen backlog for which there was no capacity are given up.
  bool GivesUpBacklog(runtime::TimePoint now) const { return now > backlog_until_; }

 private:
  runtime::TimePoint accept_until_;
  runtime::TimePoint backlog_until_;
  runtime::TimePoint new_until_;     // after that there is no time to wait for a request on a new connection
  runtime::TimePoint last_answers_;  // when the requests that are still open are answered
  runtime::TimePoint end_;           // when the stop must be complete
};

}  // namespace mothrack::http
