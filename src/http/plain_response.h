// Builds the short plain-text responses that the sidecar itself generates.
#pragma once

#include <string>

#include "http/messages.h"

namespace mothrack::http {

// Returns a response with HTTP/1.1 and text/plain. `text` is one line without a line end.
inline HttpResponse PlainResponse(beast_http::status status, const std::string& text) {
  HttpResponse response(status, 11);
  response.set(beast_http::field::content_type, "text/plain");
  response.body() = text + "\n";
  return response;
}

}  // namespace mothrack::http
