// The states of a request in the dispatcher, as a state machine without I/O. The state combines two facts:
// whether the request's body is still arriving from the client, and whether its answer is awaited, streaming
// or ended.
//
//                     body still arriving            body complete
//   answer awaited    kArriving                      kInFlight
//   answer streaming  kStreamingWhileArriving        kStreaming
//   ended             kEndedWhileArriving            kEnded
//
// kBodyComplete moves to the right, every other event downwards; request_state.cpp has the transition table.
// An event without a row for the state does not apply and is ignored. A request that has ended stays in the
// dispatcher's table until its last attempt has ended.
#pragma once

#include <optional>

namespace mothrack::dispatch {

enum class RequestState {
  kArriving,                // accepted, its body is still arriving; its deadline does not count yet
  kInFlight,                // its body is complete, its final answer is awaited
  kStreamingWhileArriving,  // an upstream's answer is streaming before the body is complete
  kStreaming,               // its final answer was given, the answer's body is still streaming
  kEndedWhileArriving,      // it has its outcome, the client may still be sending
  kEnded,                   // it has its outcome
};

enum class RequestEvent {
  kBodyComplete,        // the client sent the last byte
  kAnswerStarted,       // an attempt's answer has begun and is streamed to the client
  kStreamEnded,         // the attempt whose answer is streaming has ended, complete or not
  kFinalGiven,          // a complete answer, a rejection or a failure was given
  kClientDisconnected,  // the client closed its connection and needs no answer any more
};

// Returns the next state, or nothing if `event` does not apply to `state`.
std::optional<RequestState> NextState(RequestState state, RequestEvent event);

// Whether the request still needs its final answer.
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

// Whether the request counts as in flight in reports: body complete, no outcome yet.
constexpr bool IsInFlight(RequestState state) {
  return state == RequestState::kInFlight || state == RequestState::kStreaming;
}

}  // namespace mothrack::dispatch
