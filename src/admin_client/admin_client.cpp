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

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(boost::asio::io_context& io, Question question, std::function<void(Reply)> hear)
      : socket_(io),
        write_stream_(socket_),
        timer_(io),
        question_(std::move(question)),
        hear_(std::move(hear)) {
    parser_.body_limit(kLongestReply);
  }

  void Start(std::chrono::milliseconds patience) {
    timer_.expires_after(patience);
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error) self->End({"no answer in time", 0, nullptr});
    });
    Protocol::endpoint to;
    if (question_.place.rfind(kUnix, 0) == 0) {
      to = boost::asio::local::stream_protocol::endpoint(question_.place.substr(kUnix.size()));
    } else if (const auto endpoint = runtime::ParseEndpoint(question_.place)) {
      to = *endpoint;
    }
    socket_.async_connect(to, [self = shared_from_this()](error_code error) {
      if (error) return self->End({error.message(), 0, nullptr});
      self->Write();
    });
  }

 private:
  void Write() {
    request_.version(11);
    request_.method_string(question_.method);
    request_.target(question_.target);
    request_.set(beast_http::field::host, "agent");
    request_.keep_alive(false);
    if (!question_.token.empty()) request_.set(beast_http::field::authorization, "Bearer " + question_.token);
    if (question_.body) request_.body() = question_.body->dump();
    request_.prepare_payload();
    beast_http::async_write(
        write_stream_, request_, [self = shared_from_this()](error_code error, std::size_t) {
          if (error) return self->End({error.message(), 0, nullptr});
          beast_http::async_read(
              self->socket_, self->buffer_, self->parser_, [self](error_code failed, std::size_t) {
                if (failed) return self->End({failed.message(), 0, nullptr});
                const auto& response = self->parser_.get();
                Reply reply{
                    {}, response.result_int(), nlohmann::json::parse(response.body(), nullptr, false)};
                if (reply.body.is_discarded()) reply.fault = "the answer is no JSON";
                self->End(std::move(reply));
              });
        });
  }

  void End(Reply reply) {
    const auto hear = std::exchange(hear_, nullptr);
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    if (hear) hear(std::move(reply));
  }

  Protocol::socket socket_;
  runtime::WriteStream<Protocol::socket> write_stream_;
  boost::asio::steady_timer timer_;
  const Question question_;
  std::function<void(Reply)> hear_;
  beast_http::request<beast_http::string_body> request_;
  beast_http::response_parser<beast_http::string_body> parser_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace

std::string Reply::why() const {
  if (!fault.empty()) return fault;
  if (body.is_object() && body.contains("error") && body["error"].is_string()) return body["error"];
  return "answered " + std::to_string(status);
}

std::string FaultOfPlace(const std::string& place) {
  if (place.rfind(kUnix, 0) == 0) {
    const std::size_t length = place.size() - kUnix.size();
    if (length == 0) return "names no path";
    return length < sizeof(sockaddr_un::sun_path) ? ""
                                                  : "is longer than the system's 107 bytes for a Unix socket";
  }
  const auto endpoint = runtime::ParseEndpoint(place);
  if (!endpoint) return "is neither unix:/path nor an address and port";
  return endpoint->address().is_loopback()
             ? ""
             : "is no loopback address; agents are reached on their own machine";
}

void Ask(boost::asio::io_context& io, Question question, std::chrono::milliseconds patience,
         std::function<void(Reply)> hear) {
  std::make_shared<Exchange>(io, std::move(question), std::move(hear))->Start(patience);
}

}  // namespace mothrack::admin_client
