#include "dispatch/request_state.h"

#include <algorithm>
#include <iterator>

namespace mothrack::dispatch {
namespace {

using enum RequestState;
using enum RequestEvent;

struct Transition {
  RequestState from;
  RequestEvent event;
  RequestState to;
};

constexpr Transition kTransitions[] = {
    {kArriving, kBodyComplete, kInFlight},
    {kArriving, kAnswerStarted, kStreamingWhileArriving},
    {kArriving, kFinalGiven, kEndedWhileArriving},
    {kArriving, kClientDisconnected, kEndedWhileArriving},
    {kInFlight, kAnswerStarted, kStreaming},
    {kInFlight, kFinalGiven, kEnded},
    {kInFlight, kClientDisconnected, kEnded},
    {kStreamingWhileArriving, kBodyComplete, kStreaming},
    {kStreamingWhileArriving, kStreamEnded, kEndedWhileArriving},
    {kStreamingWhileArriving, kClientDisconnected, kEndedWhileArriving},
    {kStreaming, kStreamEnded, kEnded},
    {kStreaming, kClientDisconnected, kEnded},
    {kEndedWhileArriving, kBodyComplete, kEnded},
};

}  // namespace

std::optional<RequestState> NextState(RequestState state, RequestEvent event) {
  const auto* const row = std::find_if(
      std::begin(kTransitions), std::end(kTransitions),
      [&](const Transition& transition) { return transition.from == state && transition.event == event; });
  if (row == std::end(kTransitions)) return std::nullopt;
  return row->to;
}

}  // namespace mothrack::dispatch
