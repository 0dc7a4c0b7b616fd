#include "standins/peers.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace mothrack::testing {
namespace {

namespace beast_http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kTimeout = seconds(20);
constexpr std::uint64_t kMaxBodyBytes = 1 << 30;

tcp::endpoint Loopback(std::uint16_t port) { return {boost::asio::ip::make_address_v4("127.0.0.1"), port}; }

}  // namespace

bool Eventually(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

std::optional<Request> Wire::ReadRequest() {
  beast_http::request_parser<beast_http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  error_code error;
  beast_http::read(socket, buffer_, parser, error);
  if (error) return std::nullopt;
  return parser.release();
}

std::optional<Response> Wire::ReadResponse() {
  beast_http::response_parser<beast_http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  error_code error;
  beast_http::read(socket, buffer_, parser, error);
  if (error) return std::nullopt;
  return parser.release();
}

bool Wire::Write(const std::string& bytes) {
  error_code error;
  boost::asio::write(socket, boost::asio::buffer(bytes), error);
  return !error;
}

bool Wire::Answer(unsigned status, const std::string& body, const std::string& headers) {
  return Write("HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool Wire::ReadsEnd() {
  char byte = 0;
  error_code error;
  while (!error) socket.read_some(boost::asio::buffer(&byte, 1), error);
  return error == boost::asio::error::eof || error == boost::asio::error::connection_reset;
}

void Wire::Reset() {
  error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

void LimitReceiveBuffer(tcp::acceptor& acceptor) {
  const int segment = 536;
  ::setsockopt(acceptor.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  acceptor.set_option(boost::asio::socket_base::receive_buffer_size(1024));
}

Peer::Peer(Script script, bool small_receive_buffer) : acceptor_(io_, tcp::v4()), script_(std::move(script)) {
  if (small_receive_buffer) LimitReceiveBuffer(acceptor_);
  acceptor_.bind(Loopback(0));
  acceptor_.listen();
  port_ = acceptor_.local_endpoint().port();
  accepting_ = std::thread([this] {
    while (!stopping_) {
      pollfd ready{acceptor_.native_handle(), POLLIN, 0};
      if (::poll(&ready, 1, 20) <= 0) continue;
      const auto wire = std::make_shared<Wire>(io_);
      error_code error;
      acceptor_.accept(wire->socket, error);
      if (error) continue;
      const int number = connections_++;
      const std::lock_guard lock(mutex_);
      wires_.push_back(wire);
      threads_.emplace_back([this, wire, number] {
        script_(*wire, number);
        const std::lock_guard closing(mutex_);
        error_code ignored;
        wire->socket.close(ignored);
      });
    }
  });
}

Peer::~Peer() {
  stopping_ = true;
  accepting_.join();
  {
    const std::lock_guard lock(mutex_);
    for (const auto& wire : wires_) {
      if (wire->socket.is_open()) ::shutdown(wire->socket.native_handle(), SHUT_RDWR);
    }
  }
  for (auto& thread : threads_) thread.join();
}

Upstream::Upstream(Handler handler)
    : handler_(std::move(handler)), peer_([this](Wire& wire, int) {
        while (const auto request = wire.ReadRequest()) {
          int number = 0;
          {
            const std::lock_guard lock(mutex_);
            number = static_cast<int>(requests_.size());
            requests_.push_back(*request);
          }
          handler_(wire, *request, number);
          if (!wire.socket.is_open()) return;
        }
      }) {}

Upstream::Handler Upstream::Echo(const std::string& name) {
  return [name](Wire& wire, const Request& request, int) {
    wire.Answer(200, name + " " + std::string(request.target()));
  };
}

std::vector<Request> Upstream::requests() const {
  const std::lock_guard lock(mutex_);
  return requests_;
}

BlackHole::BlackHole() : acceptor_(io_) {
  acceptor_.open(tcp::v4());
  acceptor_.bind(Loopback(0));
  acceptor_.listen(0);
  // Fills the backlog until a connection attempt hangs.
  for (int i = 0; i < 16; ++i) {
    auto& socket = waiting_.emplace_back(io_, tcp::v4());
    socket.native_non_blocking(true);
    const auto to = acceptor_.local_endpoint();
    // A direct call, because Asio's connect() blocks until the connection attempt ends.
    [[maybe_unused]] const int begun = ::connect(socket.native_handle(), to.data(), to.size());
    pollfd ready{socket.native_handle(), POLLOUT, 0};
    if (::poll(&ready, 1, 100) != 0) continue;
    own_hanging_ = CountHanging();
    return;
  }
  throw std::runtime_error("cannot fill the backlog of the listener");
}

std::string BlackHole::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

// Reads the kernel's table of TCP sockets (proc(5), /proc/net/tcp), whose columns are the number of the
// entry, the local address, the remote address and the state.
int BlackHole::CountHanging() const {
  static constexpr int kSynSent = 2;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  int count = 0;
  while (std::getline(table, line)) {
    std::istringstream columns(line);
    std::string entry;
    std::string local;
    std::string remote;
    int state = 0;
    columns >> entry >> local >> remote >> std::hex >> state;
    const auto colon = remote.find(':');
    if (!columns || colon == std::string::npos || state != kSynSent) continue;
    const unsigned long port = std::stoul(remote.substr(colon + 1), nullptr, 16);
    if (port == acceptor_.local_endpoint().port()) ++count;
  }
  return count;
}

RefusingAddress::RefusingAddress() : acceptor_(io_) {
  acceptor_.open(tcp::v4());
  acceptor_.bind(Loopback(0));
}

std::string RefusingAddress::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

json Target(const std::string& uid, const std::string& endpoint, const std::string& state,
            std::int64_t boot_ms) {
  return {{"uid", uid},     {"endpoint", endpoint}, {"az", "a"},         {"model", "m"}, {"pod_group", 0},
          {"state", state}, {"capacity_hint", 1.0}, {"boot_ms", boot_ms}};
}

json List(const std::vector<json>& targets) { return json(targets); }

Discovery::Discovery(const json& targets) : targets_(targets) {
  peer_ = std::make_unique<Peer>([this](Wire& wire, int) { Serve(wire); });
}

Discovery::~Discovery() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  peer_.reset();
}

void Discovery::Publish(const json& targets, bool all) {
  const std::lock_guard lock(mutex_);
  targets_ = targets;
  all_ = all;
  ++revision_;
  changed_.notify_all();
}

void Discovery::SetBehavior(Behavior behavior) {
  const std::lock_guard lock(mutex_);
  behavior_ = behavior;
  changed_.notify_all();
}

void Discovery::Serve(Wire& wire) {
  while (const auto request = wire.ReadRequest()) {
    ++calls_;
    const std::string target(request->target());
    std::unique_lock lock(mutex_);
    if (const auto at = target.find("index="); at != std::string::npos) {
      const int index = std::stoi(target.substr(at + 6));
      const auto wait = milliseconds(std::stoi(target.substr(target.find("wait=") + 5)));
      const Behavior before = behavior_;
      changed_.wait_for(lock, wait, [&] { return stopping_ || revision_ > index || behavior_ != before; });
    } else {
      ++lists_;
    }
    if (behavior_ == Behavior::kUnresponsive)
      changed_.wait(lock, [&] { return stopping_ || behavior_ != Behavior::kUnresponsive; });
    if (stopping_ || behavior_ == Behavior::kClosesConnection) return;
    std::string body = json{{"rev", revision_}, {"all", all_}, {"targets", targets_}}.dump();
    if (behavior_ == Behavior::kMalformed) body = R"({"rev":99,"all":true,"targets":[{"uid":7}]})";
    lock.unlock();
    if (!wire.Answer(200, body)) return;
  }
}

json Settings() {
  const auto cls = [](const char* name, const char* effect) {
    return json{{"Name", name}, {"Effect", effect}, {"Aim", 400000}, {"HardLimit", 20000000}};
  };
  json keyed = cls("keyed", "idempotency_key");
  keyed["KeyScope"] = "all";
  keyed["Window"] = 5000000;
  return {{"Classes", {cls("page", "read_like"), cls("submit", "non_idempotent"), keyed}},
          {"MembershipMode", "pushed"},
          {"Limits",
           {{"MaxAttempts", 3},
            {"SecondCopies", false},
            {"Cancelling", true},
            {"ConnectTimeout", 200000},
            {"IdleClose", 15000000}}}};
}

Client::Client(std::uint16_t port) { wire.socket.connect(Loopback(port)); }

std::optional<Response> Client::Get(const std::string& target, const std::string& id, int timeout_ms) {
  if (!Send(GetText(target, id, timeout_ms))) return std::nullopt;
  return Read();
}

std::optional<Response> Client::Post(const std::string& target, const std::string& id,
                                     const std::string& body, int timeout_ms, const std::string& headers) {
  if (!Send(PostText(target, id, body, timeout_ms, headers))) return std::nullopt;
  return Read();
}

std::string GetText(const std::string& target, const std::string& id, int timeout_ms) {
  return "GET " + target + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id +
         "\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n\r\n";
}

std::string PostText(const std::string& target, const std::string& id, const std::string& body,
                     int timeout_ms, const std::string& headers) {
  return "POST " + target + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id +
         "\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace mothrack::testing
