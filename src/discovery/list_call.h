// One HTTP connection to the source of the endpoint list, and the call on it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

#include "discovery/endpoint_staleness.h"
#include "runtime/address.h"
#include "runtime/clock.h"
#include "runtime/write_stream.h"

namespace mothrack::discovery {

// The reason why a call returned no list.
struct CallError {
  FailedCall::Kind kind = FailedCall::Kind::kFault;
  std::string cause;  // for the log
};

// Used on the thread of the event loop only. Held by shared_ptr, because it keeps itself alive while a call
// is pending. A body of more than 4 MiB is an error. Errors are reported as CallError; nothing throws.
class ListCall : public std::enable_shared_from_this<ListCall> {
 public:
  // Notified exactly once of each call, unless the call was dropped. May call Start() or Drop() from the
  // notification.
  class Observer {
   public:
    virtual void OnBody(ListCall& call, const std::string& body) = 0;
    virtual void OnError(ListCall& call, const CallError& error) = 0;

   protected:
    ~Observer() = default;
  };

  // `observer` must stay valid until Drop().
  ListCall(boost::asio::io_context& io, runtime::Endpoint endpoint, Observer& observer);

  // Sends a GET for `target`; connects first if necessary. Fails with kTimeout after `timeout`.
  void Start(const std::string& target, runtime::Duration timeout);
  // Whether the connection can carry another call.
  bool reusable() const { return connected_; }
  // Closes the connection. The observer is not notified any more.
  void Drop();

 private:
  using ErrorCode = boost::system::error_code;

  // Wraps the next step of the call. The step is skipped after Drop(), and an error ends the call.
  template <typename Next>
  auto Then(Next next);
  void Write();
  void ReadHeader();
  void ReadBody();
  void Finish();

  Observer* observer_;  // null once dropped
  const runtime::Endpoint endpoint_;
  boost::beast::tcp_stream stream_;
  runtime::WriteStream<boost::beast::tcp_stream> write_stream_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::empty_body> request_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  bool connected_ = false;
};

}  // namespace mothrack::discovery
