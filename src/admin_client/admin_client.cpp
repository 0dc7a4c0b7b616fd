#include "admin_client/admin_client.h"

#include <sys/un.h>

#include <boost/asio/generic/stream_protocol.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

#include "runtime/address.h"
#include "runtime/write_stream.h"

namespace mothrack::admin_client {
namespace {

namespace beast_http = boost::beast::http;
using boost::system::error_code;
using Protocol = boost::asio::generic::stream_protocol;

const std::string kUnix = "unix:";

constexpr unsigned kHttp11 = 11;  // HTTP/1.1 in Beast's notation

// One request and its response. Lives until its handlers have run: each holds a shared_ptr to it.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(boost::asio::io_context& io, Request request, std::function<void(Response)> on_response)
      : socket_(io),
        write_stream_(socket_),
        timer_(io),
        request_(std::move(request)),
        on_response_(std::move(on_response)) {
    parser_.body_limit(kMaxResponseBytes);
  }

  void Start(std::chrono::milliseconds timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([exchange = shared_from_this()](error_code error) {
      if (!error) exchange->Finish({"no answer in time", 0, nullptr});
    });
    Protocol::endpoint to;
    if (request_.address.rfind(kUnix, 0) == 0) {
      to = boost::asio::local::stream_protocol::endpoint(request_.address.substr(kUnix.size()));
    } else if (const auto endpoint = runtime::ParseEndpoint(request_.address)) {
      to = *endpoint;
    }
    socket_.async_connect(to, [exchange = shared_from_this()](error_code error) {
      if (error) return exchange->Finish({error.message(), 0, nullptr});
      exchange->Write();
    });
  }

 private:
  void Write() {
    message_.version(kHttp11);
    message_.method_string(request_.method);
    message_.target(request_.target);
    message_.set(beast_http::field::host, "agent");
    message_.keep_alive(false);
    if (!request_.token.empty()) message_.set(beast_http::field::authorization, "Bearer " + request_.token);
    if (request_.body) message_.body() = request_.body->dump();
    message_.prepare_payload();
    beast_http::async_write(write_stream_, message_,
                            [exchange = shared_from_this()](error_code error, std::size_t) {
                              if (error) return exchange->Finish({error.message(), 0, nullptr});
                              exchange->Read();
                            });
  }

  void Read() {
    beast_http::async_read(socket_, buffer_, parser_,
                           [exchange = shared_from_this()](error_code error, std::size_t) {
                             if (error) return exchange->Finish({error.message(), 0, nullptr});
                             exchange->Finish(exchange->Parse());
                           });
  }

  Response Parse() const {
    const auto& message = parser_.get();
    Response response{{}, message.result_int(), nlohmann::json::parse(message.body(), nullptr, false)};
    if (response.body.is_discarded()) response.transport_error = "the response is not JSON";
    return response;
  }

  // Only the first call has an effect: the timer and a socket operation may both have completed.
  void Finish(Response response) {
    const auto on_response = std::exchange(on_response_, nullptr);
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    if (on_response) on_response(std::move(response));
  }

  Protocol::socket socket_;
  runtime::WriteStream<Protocol::socket> write_stream_;
  boost::asio::steady_timer timer_;
  const Request request_;
  std::function<void(Response)> on_response_;
  beast_http::request<beast_http::string_body> message_;
  beast_http::response_parser<beast_http::string_body> parser_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace

std::string Response::ErrorText() const {
  if (!transport_error.empty()) return transport_error;
  if (body.is_object() && body.contains("error") && body["error"].is_string()) return body["error"];
  return "answered " + std::to_string(status);
}

std::string AddressError(const std::string& address) {
  if (address.rfind(kUnix, 0) == 0) {
    const std::size_t length = address.size() - kUnix.size();
    if (length == 0) return "has no path";
    return length < sizeof(sockaddr_un::sun_path)
               ? ""
               : "is longer than 107 bytes, the system's limit for the path of a Unix socket";
  }
  const auto endpoint = runtime::ParseEndpoint(address);
  if (!endpoint) return "is neither unix:/path nor an address and port";
  return endpoint->address().is_loopback()
             ? ""
             : "is not a loopback address; an admin API is reachable on its own machine only";
}

void SendRequest(boost::asio::io_context& io, Request request, std::chrono::milliseconds timeout,
                 std::function<void(Response)> on_response) {
  std::make_shared<Exchange>(io, std::move(request), std::move(on_response))->Start(timeout);
}

}  // namespace mothrack::admin_client
