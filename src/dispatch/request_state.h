// The life of one request in the dispatcher, as a state machine without I/O. Two things go on side by side:
// the request's body may still be arriving from its client, and its answer is outstanding, streaming or over.
//
//                     body still arriving            body complete
//   answer due        kArriving                      kInFlight
//   answer streaming  kStreamingWhileArriving        kStreaming
//   over              kEndedWhileArriving            kEnded
//
// kBodyComplete leads to the right, everything else downwards; request_state.cpp has the table. An event that
// has no row does not apply to the state: the caller ignores it. A request that is over stays in the
// dispatcher's table until its last attempt has ended.
#pragma once

#include <optional>

namespace mothrack::dispatch {

enum class RequestState {
  kArriving,                // accepted while its body arrives; its deadline has not begun
  kInFlight,                // the body is complete, its Final is due
  kStreamingWhileArriving,  // an upstream answers before the body is complete
  kStreaming,               // its Final was given, the answer's body still comes
  kEndedWhileArriving,      // its outcome is counted, the client may still be sending
  kEnded,                   // its outcome is counted
};

enum class RequestEvent {
  kBodyComplete,        // the client sent the last byte
  kAnswerStarted,       // an attempt's answer began and is given to the client while it comes
  kStreamEnded,         // the attempt whose answer is streaming ended, well or not
  kFinalGiven,          // a whole answer, a rejection or a failure was decided
  kClientDisconnected,  // nobody waits any more
};

// The state that `event` leads to; nothing where it does not apply to `state`.
std::optional<RequestState> NextState(RequestState state, RequestEvent event);

// The client still gets a Final.
constexpr bool AwaitsFinal(RequestState state) {
  return state == RequestState::kArriving || state == RequestState::kInFlight;
}

constexpr bool IsArriving(RequestState state) {
  return state == RequestState::kArriving || state == RequestState::kStreamingWhileArriving ||
         state == RequestState::kEndedWhileArriving;
}

constexpr bool IsStreaming(RequestState state) {
  return state == RequestState::kStreamingWhileArriving || state == RequestState::kStreaming;
}

// Counts among the requests in flight that operators see: complete, and its outcome is open.
constexpr bool IsInFlight(RequestState state) {
  return state == RequestState::kInFlight || state == RequestState::kStreaming;
}

}  // namespace mothrack::dispatch
