#include "hot_restart/link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace mothrack::hot_restart {
namespace {

using boost::system::error_code;

constexpr std::size_t kReadSize = 16384;

}  // namespace

void Link::Start(OnLine on_line, OnEnd on_end) {
  Follow(std::move(on_line), std::move(on_end));
  if (TakeLines(0)) Read();
}

void Link::Follow(OnLine on_line, OnEnd on_end) {
  on_line_ = std::move(on_line);
  on_end_ = std::move(on_end);
}

void Link::Send(const nlohmann::json& line) {
  out_ += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
  // The other process does not read: it is no use any more.
  if (out_.size() > 2 * kLongestLine) return End();
  if (writing_.empty()) Write();
}

void Link::Drop() {
  on_line_ = nullptr;
  on_end_ = nullptr;
  error_code ignored;
  socket_.close(ignored);
}

void Link::Read() {
  const std::size_t had = in_.size();
  in_.resize(had + kReadSize);
  socket_.async_read_some(boost::asio::buffer(in_.data() + had, kReadSize),
                          [self = shared_from_this(), had](error_code error, std::size_t size) {
                            self->in_.resize(had + (error ? 0 : size));
                            if (!self->on_line_) return;
                            if (error) return self->End();
                            if (self->TakeLines(had)) self->Read();
                          });
}

// Whole lines in what has come, of which `looked` bytes are known to hold no end of one; false where this
// ended.
bool Link::TakeLines(std::size_t looked) {
  std::size_t begin = 0;
  for (auto end = in_.find('\n', looked); end != std::string::npos; end = in_.find('\n', begin)) {
    const auto line = nlohmann::json::parse(in_.begin() + static_cast<std::ptrdiff_t>(begin),
                                            in_.begin() + static_cast<std::ptrdiff_t>(end), nullptr, false);
    begin = end + 1;
    const OnLine on_line = on_line_;  // it may drop this
    if (line.is_object()) on_line(line);
    if (!line.is_object()) End();
    if (!on_line_) return false;
  }
  in_.erase(0, begin);
  if (in_.size() > kLongestLine) End();
  return on_line_ != nullptr;
}

void Link::Write() {
  writing_ = std::exchange(out_, {});
  boost::asio::async_write(write_stream_, boost::asio::buffer(writing_),
                           [self = shared_from_this()](error_code error, std::size_t) {
                             self->writing_.clear();
                             if (!self->on_line_) return;
                             if (error) return self->End();
                             if (!self->out_.empty()) self->Write();
                           });
}

void Link::End() {
  const OnEnd on_end = std::exchange(on_end_, nullptr);
  on_line_ = nullptr;
  error_code ignored;
  socket_.close(ignored);
  if (on_end) on_end();
}

}  // namespace mothrack::hot_restart
