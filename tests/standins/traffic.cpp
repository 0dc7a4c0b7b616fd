#include "standins/traffic.h"

#include <sys/socket.h>

#include <memory>
#include <utility>

namespace mothrack::testing {

namespace {

// Whether the other side has closed an idle connection. A client checks this before it writes.
bool IsClosed(Wire& wire) {
  char byte = 0;
  return ::recv(wire.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

}  // namespace

Upstream::Handler RunCounter::Handler() {
  return [this](Wire& wire, const Request& request, int) {
    if (request.method() == boost::beast::http::verb::post) CountRun(request.body());
    wire.Answer(200, "fine");
  };
}

void RunCounter::CountRun(const std::string& id) {
  const std::lock_guard lock(mutex_);
  ++runs_[id];
}

std::map<std::string, int> RunCounter::all() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

Traffic::Traffic(const std::vector<std::uint16_t>& ports, std::chrono::milliseconds every,
                 std::function<void(const CompletedRequest&)> on_completed, int requests_on_a_connection)
    : on_completed_(std::move(on_completed)), requests_on_a_connection_(requests_on_a_connection) {
  for (std::size_t i = 0; i < ports.size(); ++i) {
    threads_.emplace_back([this, i, port = ports[i], every] { Send(i, port, every); });
  }
}

Traffic::~Traffic() { Stop(); }

std::map<std::string, Traffic::Outcome> Traffic::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
  return unsafe_;
}

void Traffic::Send(std::size_t number, std::uint16_t port, std::chrono::milliseconds every) {
  std::unique_ptr<boost::asio::io_context> io;
  std::unique_ptr<Wire> wire;
  for (int i = 0; !stopping_; ++i, std::this_thread::sleep_for(every)) {
    const std::string id = "s" + std::to_string(number) + "-" + std::to_string(i);
    const bool unsafe = i % 2 == 1;
    if (wire && IsClosed(*wire)) wire.reset();
    const bool reused = wire != nullptr;
    Outcome outcome = Outcome::kLost;
    const auto begin = std::chrono::steady_clock::now();
    auto connected = begin;
    boost::system::error_code error;
    if (!reused) {
      io = std::make_unique<boost::asio::io_context>();
      wire = std::make_unique<Wire>(*io);
      wire->socket.connect({boost::asio::ip::make_address_v4("127.0.0.1"), port}, error);
      if (!error) connected = std::chrono::steady_clock::now();
    }
    if (error) {
      outcome = Outcome::kNotAccepted;
    } else {
      wire->Write(unsafe ? PostText("/submit/" + id, id, id) : GetText("/page/" + id, id));
      const auto response = wire->ReadResponse();
      if (!response) {
        outcome = reused ? Outcome::kIdleCloseRace : Outcome::kLost;
      } else {
        outcome = response->result_int() == 200   ? Outcome::kServed
                  : response->result_int() == 503 ? Outcome::kRefused
                                                  : Outcome::kFailed;
      }
      const bool connection_used_up = requests_on_a_connection_ > 0 && i % requests_on_a_connection_ == 0;
      if (!response || !response->keep_alive() || connection_used_up) error = boost::asio::error::eof;
    }
    if (error) wire.reset();
    ++counts_[static_cast<std::size_t>(outcome)];
    if (on_completed_) {
      on_completed_({number, i, id, unsafe, outcome, begin, connected, std::chrono::steady_clock::now()});
    }
    if (!unsafe) continue;
    const std::lock_guard lock(mutex_);
    unsafe_[id] = outcome;
  }
}

}  // namespace mothrack::testing
