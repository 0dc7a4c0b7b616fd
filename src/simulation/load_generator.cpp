#include "simulation/load_generator.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <stdexcept>
#include <vector>

#include "simulation/simulator.h"

namespace mothrack::simulation {
namespace {

namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using boost::system::error_code;

double MillisecondsSince(Clock::time_point from) {
  return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
}

class Loader;

class Line : public std::enable_shared_from_this<Line> {
 public:
  Line(Loader& owner, boost::asio::io_context& io) : owner_(owner), stream_(io) {}
  void Send(Clock::time_point due, std::uint64_t number);

 private:
  void Write();
  void Done(error_code error);

  Loader& owner_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  beast_http::request<beast_http::empty_body> request_;
  beast_http::response<beast_http::string_body> response_;
  Clock::time_point due_;
  Clock::time_point sent_;
  bool connected_ = false;
};

class Loader {
 public:
  explicit Loader(const LoadConfig& config)
      : config_(config), timer_(io_), to_(boost::asio::ip::make_address(config.host), config.port) {
    if (!to_.address().is_loopback())
      throw std::invalid_argument(config.host + ": load goes to loopback addresses only");
  }

  LoadResult Run() {
    begin_ = Clock::now();
    most_ = static_cast<std::uint64_t>(config_.rate * config_.length_s);
    Tick();
    io_.run();
    result_.seconds = std::chrono::duration<double>(Clock::now() - begin_).count();
    return std::move(result_);
  }

  const LoadConfig& config() const { return config_; }
  const tcp::endpoint& to() const { return to_; }

  void Ended(const std::shared_ptr<Line>& line, Clock::time_point due, Clock::time_point sent,
             unsigned status) {
    if (status == 200) {
      ++result_.served;
      result_.from_due(MillisecondsSince(due));
      result_.from_sent(MillisecondsSince(sent));
    } else {
      ++(status == 503 || status == 429 ? result_.refused : result_.failed);
    }
    idle_.push_back(line);
    Next();
  }

 private:
  Clock::time_point DueAt(std::uint64_t number) {
    while (due_s_.size() <= number) {
      const double before = due_s_.empty() ? 0 : due_s_.back();
      const double gap = config_.poisson_seed == 0 ? 1 / config_.rate : random_.Exponential(1 / config_.rate);
      due_s_.push_back(due_s_.empty() ? 0 : before + gap);
    }
    return begin_ +
           std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(due_s_[number]));
  }
  void Tick() {
    while (result_.due < most_ && DueAt(result_.due) <= Clock::now()) waiting_.push_back(result_.due++);
    Next();
    if (result_.due >= most_) return;
    timer_.expires_at(DueAt(result_.due));
    timer_.async_wait([this](error_code error) {
      if (!error) Tick();
    });
  }
  void Next() {
    while (!waiting_.empty()) {
      if (idle_.empty()) {
        if (lines_ >= config_.connections) return;
        ++lines_;
        idle_.push_back(std::make_shared<Line>(*this, io_));
      }
      const auto line = idle_.back();
      idle_.pop_back();
      const std::uint64_t number = waiting_.front();
      waiting_.pop_front();
      line->Send(DueAt(number), number);
    }
  }

  const LoadConfig config_;
  boost::asio::io_context io_;
  boost::asio::steady_timer timer_;
  const tcp::endpoint to_;
  Clock::time_point begin_;
  std::uint64_t most_ = 0;
  Random random_{config_.poisson_seed};
  std::vector<double> due_s_;
  std::size_t lines_ = 0;
  std::vector<std::shared_ptr<Line>> idle_;
  std::deque<std::uint64_t> waiting_;
  LoadResult result_;
};

void Line::Send(Clock::time_point due, std::uint64_t number) {
  due_ = due;
  sent_ = Clock::now();
  request_ = {};
  request_.method(beast_http::verb::get);
  request_.target(owner_.config().target);
  request_.set(beast_http::field::host, "lab");
  request_.set("X-Request-ID",
               "lab-" + std::to_string(sent_.time_since_epoch().count()) + '-' + std::to_string(number));
  request_.set("X-Timeout-Ms", std::to_string(owner_.config().timeout_ms));
  stream_.expires_after(std::chrono::milliseconds(owner_.config().timeout_ms));
  if (connected_) return Write();
  stream_.async_connect(owner_.to(), [self = shared_from_this()](error_code error) {
    if (error) return self->Done(error);
    self->connected_ = true;
    self->Write();
  });
}

void Line::Write() {
  beast_http::async_write(stream_, request_, [self = shared_from_this()](error_code error, std::size_t) {
    if (error) return self->Done(error);
    self->response_ = {};
    beast_http::async_read(self->stream_, self->buffer_, self->response_,
                           [self](error_code read, std::size_t) { self->Done(read); });
  });
}

void Line::Done(error_code error) {
  if (error || !response_.keep_alive()) {
    stream_.close();
    buffer_.clear();
    connected_ = false;
  }
  owner_.Ended(shared_from_this(), due_, sent_, error ? 0 : response_.result_int());
}

}  // namespace

LoadResult Load(const LoadConfig& config) { return Loader(config).Run(); }

}  // namespace mothrack::simulation
