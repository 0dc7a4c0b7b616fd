// The callbacks between a client connection and the handler of its requests.
//
// All of them are called on the thread of the listener's event loop.
#pragma once

#include <functional>

#include "http/messages.h"
#include "runtime/clock.h"

namespace mothrack::http {

// Delivers the response to one request. Must be called exactly once, possibly before the handler returns. The
// response body may still be arriving. If the client has disconnected, the call only abandons the body.
using ReplyCallback = std::function<void(HttpResponse, StreamedBody)>;

// Notifications about the client to the handler of its request. Either function may be empty.
struct RequestObserver {
  // The client disconnected before its response was complete; the response is no longer needed.
  std::function<void()> on_disconnect;
  // The last byte of a request whose body was still arriving has arrived, or may have arrived although it is
  // not read. The client's time counts from `last_byte_at`. Called once at most.
  std::function<void(runtime::TimePoint last_byte_at)> on_complete;
  // How long the client waits for its answer, from its last byte on.
  runtime::Duration answer_time = runtime::Duration::max();
};

// Handles one request, whose body may still be arriving. The handler may move from `request`. It is a
// reference, because moving a message costs about a hundred instructions. `memory` must live as long as the
// request is held.
using RequestHandler = std::function<RequestObserver(HttpRequest&& request, StreamedBody streamed_body,
                                                     RequestMemory memory, ReplyCallback reply)>;

}  // namespace mothrack::http
