#include "discovery/list_call.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace mothrack::discovery {
namespace {

namespace beast_http = boost::beast::http;

constexpr unsigned kHttp11 = 11;  // Beast's representation of the version
// Maximum size of a body in bytes; the list of the largest fleet is far smaller.
constexpr std::uint64_t kMaxListSize = std::uint64_t{4} * 1024 * 1024;

CallError ToCallError(const boost::system::error_code& error) {
  const bool timed_out = error == boost::beast::error::timeout;
  return {timed_out ? FailedCall::Kind::kTimeout : FailedCall::Kind::kFault, error.message()};
}

}  // namespace

ListCall::ListCall(boost::asio::io_context& io, runtime::Endpoint endpoint, Observer& observer)
    : observer_(&observer), endpoint_(std::move(endpoint)), stream_(io), write_stream_(stream_) {}

template <typename Next>
auto ListCall::Then(Next next) {
  return [self = shared_from_this(), next = std::move(next)](const ErrorCode& error, std::size_t = 0) {
    if (self->observer_ == nullptr) return;
    if (error) return self->observer_->OnError(*self, ToCallError(error));
    next();
  };
}

void ListCall::Start(const std::string& target, runtime::Duration timeout) {
  request_ = {beast_http::verb::get, target, kHttp11};
  request_.set(beast_http::field::host, "discovery");
  stream_.expires_after(timeout);
  if (connected_) return Write();
  stream_.async_connect(endpoint_, Then([this] {
                          connected_ = true;
                          Write();
                        }));
}

void ListCall::Drop() {
  observer_ = nullptr;
  stream_.close();
}

void ListCall::Write() {
  beast_http::async_write(write_stream_, request_, Then([this] { ReadHeader(); }));
}

void ListCall::ReadHeader() {
  parser_.emplace();
  parser_->body_limit(kMaxListSize);
  // Read the header on its own first; otherwise the limit of the body is not enforced (see
  // http/upstream_exchange.cpp).
  beast_http::async_read_header(stream_, buffer_, *parser_, Then([this] { ReadBody(); }));
}

void ListCall::ReadBody() {
  beast_http::async_read(stream_, buffer_, *parser_, Then([this] { Finish(); }));
}

void ListCall::Finish() {
  const auto response = parser_->release();
  if (!response.keep_alive()) connected_ = false;
  stream_.expires_never();
  if (response.result() != beast_http::status::ok) {
    return observer_->OnError(*this,
                              {FailedCall::Kind::kFault, "status " + std::to_string(response.result_int())});
  }
  observer_->OnBody(*this, response.body());
}

}  // namespace mothrack::discovery
