#include "admin/server.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "runtime/write_stream.h"

namespace mothrack::admin {
namespace {

namespace beast_http = boost::beast::http;
using boost::asio::local::stream_protocol;
using boost::beast::string_view;
using boost::system::error_code;
using nlohmann::json;

// Time limit for the arrival of a call and the writing of its answer.
constexpr auto kCallTimeout = std::chrono::seconds(5);
// How long to wait for the caller's close after the answer: closing at once could send an RST that overtakes
// the answer.
constexpr auto kLinger = std::chrono::milliseconds(500);
// Delay before the next accept after one that failed, for example because descriptors ran out.
constexpr runtime::Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
constexpr std::size_t kMaxHeaderSize = 4096;  // bytes
constexpr int kBacklog = 64;
constexpr std::size_t kMaxLogged = 64;  // characters of a method or a path

// Makes a part of the request line safe for the log: input from outside must not break or fill a log line.
std::string Printable(const std::string& text) {
  std::string printable;
  for (const char c : text.substr(0, kMaxLogged)) printable += c > ' ' && c < 127 ? c : '?';
  return printable;
}

// Removes a socket that a killed process left behind, because it would prevent binding. Throws
// std::runtime_error if a live process serves the socket or if the path is not a socket.
void RemoveStaleSocket(const ListenAddress& address) {
  const std::string& path = address.unix_path;
  struct stat info {};
  if (::lstat(path.c_str(), &info) != 0) return;
  if (!S_ISSOCK(info.st_mode))
    throw std::runtime_error(address.setting + ": " + path + " is not a socket; give another path");
  boost::asio::io_context io;
  stream_protocol::socket probe(io);
  error_code error;
  probe.connect(stream_protocol::endpoint(path), error);
  if (!error)
    throw std::runtime_error(address.setting + ": " + path +
                             " is served by another process; give another path");
  ::unlink(path.c_str());
}

// While it exists, files and sockets are created with access for the owner only.
class PrivateUmask {
 public:
  PrivateUmask() : before_(::umask(0177)) {}
  ~PrivateUmask() { ::umask(before_); }
  PrivateUmask(const PrivateUmask&) = delete;
  PrivateUmask& operator=(const PrivateUmask&) = delete;

 private:
  mode_t before_;
};

// The time depends only on the length of `given`, which is no secret.
bool EqualInConstantTime(const std::string& given, const std::string& secret) {
  unsigned char differ = given.size() == secret.size() ? 0 : 1;
  for (std::size_t i = 0; i < given.size(); ++i) {
    differ |= static_cast<unsigned char>(given[i] ^ secret[secret.empty() ? 0 : i % secret.size()]);
  }
  return differ == 0 && !secret.empty();
}

}  // namespace

std::string PercentDecoded(const std::string& text) {
  const auto digit = [](char c) { return std::isxdigit(static_cast<unsigned char>(c)) != 0; };
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && digit(text[i + 1]) && digit(text[i + 2])) {
      plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

bool HasBearerToken(const Call& call, const std::string& token) {
  static const std::string kScheme = "Bearer ";
  const std::string& given = call.authorization;
  if (given.size() < kScheme.size() || !boost::beast::iequals(given.substr(0, kScheme.size()), kScheme)) {
    return false;
  }
  return EqualInConstantTime(given.substr(kScheme.size()), token);
}

// One connection: one call, one answer.
class Server::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Server& server, Protocol::socket socket)
      : server_(&server), stream_(std::move(socket)), write_stream_(stream_), timer_(server.io_) {
    parser_.header_limit(kMaxHeaderSize);
    parser_.body_limit(server.bounds_.body);
  }

  void Start() {
    EndIn(kCallTimeout);
    beast_http::async_read(
        stream_, buffer_, parser_, [self = shared_from_this()](error_code error, std::size_t) {
          if (self->server_ == nullptr) return;
          if (error == beast_http::error::body_limit || error == beast_http::error::header_limit) {
            return self->Write(Fault(413, "larger than any command"));
          }
          if (error) return self->End();
          self->Serve();
        });
  }

  // Closes the connection and detaches it from its server, which is not called any more.
  void Close() {
    server_ = nullptr;
    error_code ignored;
    stream_.close(ignored);
    timer_.cancel();
  }

  // Whether no answer is being written, so that a newer connection may replace this one.
  bool evictable() const { return !answering_; }

 private:
  void EndIn(runtime::Duration wait) {
    timer_.expires_after(wait);
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error) self->End();
    });
  }

  void Serve() {
    const auto& request = parser_.get();
    const string_view target = request.target();
    const auto question = target.find('?');
    Call call;
    call.method = std::string(request.method_string());
    call.path = std::string(target.substr(0, question));
    if (question != string_view::npos) call.query = std::string(target.substr(question + 1));
    call.authorization = std::string(request[beast_http::field::authorization]);
    call.body = request.body();
    Write(server_->Serve(call));
  }

  void Write(const Answer& answer) {
    answering_ = true;
    response_.result(answer.status);
    response_.set(beast_http::field::content_type, "application/json");
    if (answer.status == 401) response_.set(beast_http::field::www_authenticate, "Bearer");
    response_.keep_alive(false);
    // Invalid UTF-8 (in a name from outside) is replaced, because dump() would throw otherwise.
    response_.body() = answer.body.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
    response_.prepare_payload();
    beast_http::async_write(write_stream_, response_,
                            [self = shared_from_this()](error_code error, std::size_t) {
                              if (self->server_ == nullptr) return;
                              if (error) return self->End();
                              self->answering_ = false;
                              error_code ignored;
                              self->stream_.shutdown(boost::asio::socket_base::shutdown_send, ignored);
                              self->EndIn(kLinger);
                              self->Linger();
                            });
  }

  void Linger() {
    buffer_.clear();
    stream_.async_read_some(buffer_.prepare(1024),
                            [self = shared_from_this()](error_code error, std::size_t) {
                              if (self->server_ == nullptr) return;
                              if (error) return self->End();
                              self->Linger();
                            });
  }

  void End() {
    if (server_ == nullptr) return;
    Server* server = server_;
    Close();
    server->connections_.remove(shared_from_this());
  }

  Server* server_;
  Protocol::socket stream_;
  runtime::WriteStream<Protocol::socket> write_stream_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_{kMaxHeaderSize + 1024};
  beast_http::request_parser<beast_http::string_body> parser_;
  beast_http::response<beast_http::string_body> response_;
  bool answering_ = false;
};

Server::Server(boost::asio::io_context& io, ListenAddress address, Bounds bounds, std::string label,
               std::vector<Route> routes, Guard guard, runtime::Logger& log)
    : io_(io),
      address_(std::move(address)),
      bounds_(bounds),
      label_(std::move(label)),
      routes_(std::move(routes)),
      guard_(std::move(guard)),
      log_(log),
      acceptor_(io),
      accept_timer_(io) {
  try {
    if (address_.endpoint) {
      acceptor_.open(Protocol(address_.endpoint->protocol()));
      acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
      acceptor_.bind(*address_.endpoint);
    } else {
      RemoveStaleSocket(address_);
      acceptor_.open(Protocol(AF_UNIX, 0));
      const PrivateUmask only_the_owner;
      acceptor_.bind(stream_protocol::endpoint(address_.unix_path));
    }
    acceptor_.listen(kBacklog);
    // By default Asio hides ECONNABORTED and waits for the next connection. So if a caller disconnected while
    // in the backlog, those behind it would stay unnoticed until another one connects.
    acceptor_.set_option(boost::asio::socket_base::enable_connection_aborted(true));
  } catch (const boost::system::system_error& e) {
    throw std::runtime_error(address_.setting + ": " + local() + ": " + e.code().message() +
                             "; free the address, or give another");
  }
  Accept();
}

// NOLINTNEXTLINE(bugprone-exception-escape): cancel() is declared to throw, but never does for a live timer
Server::~Server() {
  for (const auto& connection : connections_) connection->Close();
  if (!address_.unix_path.empty()) ::unlink(address_.unix_path.c_str());
}

std::string Server::local() const {
  if (!address_.endpoint) return "unix:" + address_.unix_path;
  runtime::Endpoint bound = *address_.endpoint;
  error_code error;
  const auto local = acceptor_.local_endpoint(error);
  if (!error && local.size() <= bound.capacity()) {
    std::copy_n(reinterpret_cast<const char*>(local.data()), local.size(),
                reinterpret_cast<char*>(bound.data()));
  }
  std::ostringstream text;
  text << bound;
  return text.str();
}

void Server::Accept() {
  acceptor_.async_accept([this](error_code error, Protocol::socket socket) {
    if (error == boost::asio::error::operation_aborted || error == boost::asio::error::bad_descriptor) return;
    if (error) return AcceptLater();
    if (connections_.size() >= bounds_.connections) EvictOldest();
    connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
    const auto connection = connections_.back();
    connection->Start();
    Accept();
  });
}

// Connections whose answer is being written stay; there are no more of them than concurrent callers.
void Server::EvictOldest() {
  const auto oldest = std::find_if(connections_.begin(), connections_.end(),
                                   [](const auto& connection) { return connection->evictable(); });
  if (oldest == connections_.end()) return;
  (*oldest)->Close();
  connections_.erase(oldest);
}

// Delays the next accept to prevent a busy loop while descriptors or memory are exhausted.
void Server::AcceptLater() {
  accept_timer_.expires_after(kAcceptRetryDelay);
  accept_timer_.async_wait([this](error_code error) {
    if (!error) Accept();
  });
}

Answer Server::Serve(const Call& call) {
  if (guard_) {
    if (const auto rejected = guard_(call)) {
      if (rejected->status != 401) return *rejected;
      return Reject(call, 401, "no valid token", rejected->body.value("error", ""));
    }
  }
  std::string known_routes;
  std::string right_method;
  for (const Route& route : routes_) {
    if (route.path == call.path && route.method == call.method) return route.serve(call);
    if (route.path == call.path) right_method = route.method;
    known_routes += (known_routes.empty() ? "" : ", ") + route.method + ' ' + route.path;
  }
  if (!right_method.empty()) return Reject(call, 405, "wrong method", "use " + right_method);
  return Reject(call, 404, "unknown command", "unknown; there are " + known_routes);
}

Answer Server::Reject(const Call& call, unsigned status, const std::string& reason,
                      const std::string& error) {
  const std::string method = Printable(call.method);
  const std::string path = Printable(call.path);
  if (label_ == kOperatorApi) {
    log_.FreeText(label_ + ": refused " + method + ' ' + path + ": " + reason);
  } else {
    log_.Warn("command_refused", {{"api", label_}, {"reason", reason}, {"method", method}, {"path", path}});
  }
  return Fault(status, error);
}

}  // namespace mothrack::admin
