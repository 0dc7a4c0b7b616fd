#include "handover/link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace mothrack::handover {
namespace {

using boost::system::error_code;

constexpr std::size_t kReadSize = 16384;

}  // namespace

void Link::Start(OnLine on_line, OnEnd on_end) {
  Follow(std::move(on_line), std::move(on_end));
  Read();
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
  socket_.async_read_some(
      boost::asio::buffer(in_.data() + had, kReadSize),
      [self = shared_from_this(), had](error_code error, std::size_t size) {
        self->in_.resize(had + (error ? 0 : size));
        if (!self->on_line_) return;
        if (error) return self->End();
        std::size_t begin = 0;
        for (auto end = self->in_.find('\n', had); end != std::string::npos; end = self->in_.find('\n', begin)) {
          const auto line = nlohmann::json::parse(self->in_.begin() + static_cast<std::ptrdiff_t>(begin),
                                                  self->in_.begin() + static_cast<std::ptrdiff_t>(end), nullptr,
                                                  false);
          begin = end + 1;
          if (!line.is_object()) return self->End();
          const OnLine on_line = self->on_line_;  // it may drop this
          on_line(line);
          if (!self->on_line_) return;
        }
        self->in_.erase(0, begin);
        if (self->in_.size() > kLongestLine) return self->End();
        self->Read();
      });
}

void Link::Write() {
  writing_ = std::exchange(out_, {});
  boost::asio::async_write(socket_, boost::asio::buffer(writing_),
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

}  // namespace mothrack::handover
