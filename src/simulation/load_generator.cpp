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

class LoadGenerator;

// One keep-alive connection to the sidecar; sends one request at a time.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(LoadGenerator& owner, boost::asio::io_context& io) : owner_(owner), stream_(io) {}
  void Send(Clock::time_point due, std::uint64_t number);

 private:
  void Write();
  void Finish(error_code error);

  LoadGenerator& owner_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  beast_http::request<beast_http::empty_body> request_;
  beast_http::response<beast_http::string_body> response_;
  Clock::time_point due_;
  Clock::time_point sent_;
  bool connected_ = false;
};

// Starts each request when it is due and a connection is free, and counts the results.
class LoadGenerator {
 public:
  explicit LoadGenerator(const LoadConfig& config)
      : config_(config), timer_(io_), endpoint_(boost::asio::ip::make_address(config.host), config.port) {
    if (!endpoint_.address().is_loopback())
      throw std::invalid_argument(config.host + ": load may be sent to loopback addresses only");
  }

  LoadResult Run() {
    begin_ = Clock::now();
    total_ = static_cast<std::uint64_t>(config_.rate * config_.length_s);
    StartDueRequests();
    io_.run();
    result_.seconds = std::chrono::duration<double>(Clock::now() - begin_).count();
    return std::move(result_);
  }

  const LoadConfig& config() const { return config_; }
  const tcp::endpoint& endpoint() const { return endpoint_; }

  void OnRequestEnded(const std::shared_ptr<Connection>& connection, Clock::time_point due,
                      Clock::time_point sent, unsigned status) {
    if (status == 200) {
      ++result_.served;
      result_.from_due(MillisecondsSince(due));
      result_.from_sent(MillisecondsSince(sent));
    } else {
      ++(status == 503 || status == 429 ? result_.refused : result_.failed);
    }
    idle_.push_back(connection);
    SendWaiting();
  }

 private:
  Clock::time_point DueAt(std::uint64_t number) {
    while (due_s_.size() <= number) {
      const double previous = due_s_.empty() ? 0 : due_s_.back();
      const double gap = config_.poisson_seed == 0 ? 1 / config_.rate : random_.Exponential(1 / config_.rate);
      due_s_.push_back(due_s_.empty() ? 0 : previous + gap);
    }
    return begin_ +
           std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(due_s_[number]));
  }
  void StartDueRequests() {
    while (result_.due < total_ && DueAt(result_.due) <= Clock::now()) waiting_.push_back(result_.due++);
    SendWaiting();
    if (result_.due >= total_) return;
    timer_.expires_at(DueAt(result_.due));
    timer_.async_wait([this](error_code error) {
      if (!error) StartDueRequests();
    });
  }
  void SendWaiting() {
    while (!waiting_.empty()) {
      if (idle_.empty()) {
        if (connections_ >= config_.connections) return;
        ++connections_;
        idle_.push_back(std::make_shared<Connection>(*this, io_));
      }
      const auto connection = idle_.back();
      idle_.pop_back();
      const std::uint64_t number = waiting_.front();
      waiting_.pop_front();
      connection->Send(DueAt(number), number);
    }
  }

  const LoadConfig config_;
  boost::asio::io_context io_;
  boost::asio::steady_timer timer_;
  const tcp::endpoint endpoint_;
  Clock::time_point begin_;
  std::uint64_t total_ = 0;
  Random random_{config_.poisson_seed};
  std::vector<double> due_s_;  // by request: its due time, from the start of the load
  std::size_t connections_ = 0;
  std::vector<std::shared_ptr<Connection>> idle_;
  std::deque<std::uint64_t> waiting_;
  LoadResult result_;
};

void Connection::Send(Clock::time_point due, std::uint64_t number) {
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
  stream_.async_connect(owner_.endpoint(), [self = shared_from_this()](error_code error) {
    if (error) return self->Finish(error);
    self->connected_ = true;
    self->Write();
  });
}

void Connection::Write() {
  beast_http::async_write(stream_, request_, [self = shared_from_this()](error_code error, std::size_t) {
    if (error) return self->Finish(error);
    self->response_ = {};
    beast_http::async_read(self->stream_, self->buffer_, self->response_,
                           [self](error_code read_error, std::size_t) { self->Finish(read_error); });
  });
}

void Connection::Finish(error_code error) {
  if (error || !response_.keep_alive()) {
    stream_.close();
    buffer_.clear();
    connected_ = false;
  }
  owner_.OnRequestEnded(shared_from_this(), due_, sent_, error ? 0 : response_.result_int());
}

}  // namespace

LoadResult Load(const LoadConfig& config) { return LoadGenerator(config).Run(); }

}  // namespace mothrack::simulation
