#include "hot_restart/link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace mothrack::hot_restart {
namespace {

using boost::system::error_code;

constexpr std::size_t kReadSize = 16384;  // bytes

}  // namespace

void Link::Start(OnLine on_line, OnEnd on_end) {
  SetHandlers(std::move(on_line), std::move(on_end));
  if (DeliverLines(0)) Read();
}

void Link::SetHandlers(OnLine on_line, OnEnd on_end) {
  on_line_ = std::move(on_line);
  on_end_ = std::move(on_end);
}

void Link::Send(const nlohmann::json& line) {
  pending_ += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
  // The other process does not read the lines that were sent.
  if (pending_.size() > 2 * kMaxLineSize) return Disconnect();
  if (writing_.empty()) Write();
}

void Link::Close() {
  on_line_ = nullptr;
  on_end_ = nullptr;
  error_code ignored;
  socket_.close(ignored);
}

void Link::Read() {
  const std::size_t previous_size = received_.size();
  received_.resize(previous_size + kReadSize);
  socket_.async_read_some(boost::asio::buffer(received_.data() + previous_size, kReadSize),
                          [self = shared_from_this(), previous_size](error_code error, std::size_t size) {
                            self->received_.resize(previous_size + (error ? 0 : size));
                            if (!self->on_line_) return;
                            if (error) return self->Disconnect();
                            if (self->DeliverLines(previous_size)) self->Read();
                          });
}

// Calls on_line_ for each complete line received. The first `scanned` bytes are known to contain no line end.
// Returns false if the link was closed.
bool Link::DeliverLines(std::size_t scanned) {
  std::size_t begin = 0;
  for (auto end = received_.find('\n', scanned); end != std::string::npos;
       end = received_.find('\n', begin)) {
    const auto line =
        nlohmann::json::parse(received_.begin() + static_cast<std::ptrdiff_t>(begin),
                              received_.begin() + static_cast<std::ptrdiff_t>(end), nullptr, false);
    begin = end + 1;
    const OnLine on_line = on_line_;  // a copy, because the call may close this link
    if (line.is_object()) on_line(line);
    if (!line.is_object()) Disconnect();
    if (!on_line_) return false;
  }
  received_.erase(0, begin);
  if (received_.size() > kMaxLineSize) Disconnect();
  return on_line_ != nullptr;
}

void Link::Write() {
  writing_ = std::exchange(pending_, {});
  boost::asio::async_write(write_stream_, boost::asio::buffer(writing_),
                           [self = shared_from_this()](error_code error, std::size_t) {
                             self->writing_.clear();
                             if (!self->on_line_) return;
                             if (error) return self->Disconnect();
                             if (!self->pending_.empty()) self->Write();
                           });
}

void Link::Disconnect() {
  const OnEnd on_end = std::exchange(on_end_, nullptr);
  on_line_ = nullptr;
  error_code ignored;
  socket_.close(ignored);
  if (on_end) on_end();
}

}  // namespace mothrack::hot_restart
