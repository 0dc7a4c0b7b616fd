// What a client connection and whoever answers its requests tell each other.
//
// All of it is called on the thread of the listener's event loop.
#pragma once

#include <functional>

#include "http/messages.h"

namespace mothrack::http {

// Hands over the answer to one request; to be called once, perhaps at once. The answer's body may still be
// coming. After the client has disconnected the call has no effect but that the body is abandoned.
using ReplyCallback = std::function<void(HttpResponse, ComingBody)>;

// What whoever answers a request is told of its client. Either function may be empty.
struct RequestObserver {
  // The client disconnected before its answer was whole; no answer is wanted any more.
  std::function<void()> on_disconnect;
  // The last byte has come of a request that was handed on before.
  std::function<void()> on_complete;
};

// Takes one request, whose body may still be coming.
using RequestHandler =
    std::function<RequestObserver(HttpRequest request, ComingBody coming, ReplyCallback reply)>;

}  // namespace mothrack::http
