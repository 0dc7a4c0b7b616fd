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

// For one call to come whole and its answer to be taken.
constexpr auto kPatience = std::chrono::seconds(5);
// After the answer the caller's close is waited for: a reset could overtake the answer.
constexpr auto kLinger = std::chrono::milliseconds(500);
constexpr runtime::Duration kPause = std::chrono::milliseconds(50);
constexpr std::size_t kMostHeader = 4096;
constexpr int kBacklog = 64;
constexpr std::size_t kLongestLogged = 64;

// Of a request line, for the log: what a stranger sends may not break a line or fill it.
std::string Printable(const std::string& text) {
  std::string printable;
  for (const char c : text.substr(0, kLongestLogged)) printable += c > ' ' && c < 127 ? c : '?';
  return printable;
}

// A socket that a killed process left behind is in the way of the next; one that is served is not ours to
// take.
void RemoveLeftover(const Place& place) {
  const std::string& path = place.unix_path;
  struct stat info {};
  if (::lstat(path.c_str(), &info) != 0) return;
  if (!S_ISSOCK(info.st_mode))
    throw std::runtime_error(place.setting + ": " + path + " is no socket; name another path");
  boost::asio::io_context io;
  stream_protocol::socket probe(io);
  error_code error;
  probe.connect(stream_protocol::endpoint(path), error);
  if (!error)
    throw std::runtime_error(place.setting + ": " + path +
                             " is served by another process; name another path");
  ::unlink(path.c_str());
}

// Only the owner may open what is made meanwhile.
class PrivateUmask {
 public:
  PrivateUmask() : before_(::umask(0177)) {}
  ~PrivateUmask() { ::umask(before_); }
  PrivateUmask(const PrivateUmask&) = delete;
  PrivateUmask& operator=(const PrivateUmask&) = delete;

 private:
  mode_t before_;
};

// Takes the same time whatever `given` is, but for its length, which is no secret.
bool Same(const std::string& given, const std::string& secret) {
  unsigned char differ = given.size() == secret.size() ? 0 : 1;
  for (std::size_t i = 0; i < given.size(); ++i) {
    differ |= static_cast<unsigned char>(given[i] ^ secret[secret.empty() ? 0 : i % secret.size()]);
  }
  return differ == 0 && !secret.empty();
}

}  // namespace

std::string Unescaped(const std::string& text) {
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

bool HoldsToken(const Call& call, const std::string& token) {
  static const std::string kScheme = "Bearer ";
  const std::string& given = call.authorization;
  if (given.size() < kScheme.size() || !boost::beast::iequals(given.substr(0, kScheme.size()), kScheme)) {
    return false;
  }
  return Same(given.substr(kScheme.size()), token);
}

// One connection: one call, one answer.
class Server::Visit : public std::enable_shared_from_this<Visit> {
 public:
  Visit(Server& owner, Protocol::socket socket)
      : owner_(&owner), stream_(std::move(socket)), write_stream_(stream_), timer_(owner.io_) {
    parser_.header_limit(kMostHeader);
    parser_.body_limit(owner.bounds_.body);
  }

  void Start() {
    EndIn(kPatience);
    beast_http::async_read(
        stream_, buffer_, parser_, [self = shared_from_this()](error_code error, std::size_t) {
          if (self->owner_ == nullptr) return;
          if (error == beast_http::error::body_limit || error == beast_http::error::header_limit) {
            return self->Write(Fault(413, "larger than any command"));
          }
          if (error) return self->End();
          self->Serve();
        });
  }

  // Nothing of it may call its server any more.
  void Drop() {
    owner_ = nullptr;
    error_code ignored;
    stream_.close(ignored);
    timer_.cancel();
  }

  // Has its call not come whole, or its answer been sent?
  bool spared() const { return !answering_; }

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
    Write(owner_->Serve(call));
  }

  void Write(const Answer& answer) {
    answering_ = true;
    response_.result(answer.status);
    response_.set(beast_http::field::content_type, "application/json");
    if (answer.status == 401) response_.set(beast_http::field::www_authenticate, "Bearer");
    response_.keep_alive(false);
    // What is no UTF-8 (a name from outside) is replaced, never thrown at.
    response_.body() = answer.body.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
    response_.prepare_payload();
    beast_http::async_write(write_stream_, response_,
                            [self = shared_from_this()](error_code error, std::size_t) {
                              if (self->owner_ == nullptr) return;
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
                              if (self->owner_ == nullptr) return;
                              if (error) return self->End();
                              self->Linger();
                            });
  }

  void End() {
    if (owner_ == nullptr) return;
    Server* owner = owner_;
    Drop();
    owner->visits_.remove(shared_from_this());
  }

  Server* owner_;
  Protocol::socket stream_;
  runtime::WriteStream<Protocol::socket> write_stream_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_{kMostHeader + 1024};
  beast_http::request_parser<beast_http::string_body> parser_;
  beast_http::response<beast_http::string_body> response_;
  bool answering_ = false;
};

Server::Server(boost::asio::io_context& io, Place place, Bounds bounds, std::string label,
               std::vector<Route> routes, Guard guard, runtime::Logger& log)
    : io_(io),
      place_(std::move(place)),
      bounds_(bounds),
      label_(std::move(label)),
      routes_(std::move(routes)),
      guard_(std::move(guard)),
      log_(log),
      acceptor_(io),
      pause_(io) {
  try {
    if (place_.endpoint) {
      acceptor_.open(Protocol(place_.endpoint->protocol()));
      acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
      acceptor_.bind(*place_.endpoint);
    } else {
      RemoveLeftover(place_);
      acceptor_.open(Protocol(AF_UNIX, 0));
      const PrivateUmask only_the_owner;
      acceptor_.bind(stream_protocol::endpoint(place_.unix_path));
    }
    acceptor_.listen(kBacklog);
    // Else a caller that left ahead of its turn hides those behind it until a further one comes.
    acceptor_.set_option(boost::asio::socket_base::enable_connection_aborted(true));
  } catch (const boost::system::system_error& e) {
    throw std::runtime_error(place_.setting + ": " + local() + ": " + e.code().message() +
                             "; free the place, or name another");
  }
  Accept();
}

Server::~Server() {
  for (const auto& visit : visits_) visit->Drop();
  if (!place_.unix_path.empty()) ::unlink(place_.unix_path.c_str());
}

std::string Server::local() const {
  if (!place_.endpoint) return "unix:" + place_.unix_path;
  runtime::Endpoint bound = *place_.endpoint;
  error_code error;
  const auto place = acceptor_.local_endpoint(error);
  if (!error && place.size() <= bound.capacity()) {
    std::copy_n(reinterpret_cast<const char*>(place.data()), place.size(),
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
    if (visits_.size() >= bounds_.connections) MakeRoom();
    visits_.push_back(std::make_shared<Visit>(*this, std::move(socket)));
    const auto visit = visits_.back();
    visit->Start();
    Accept();
  });
}

// Those whose answer is on its way stay: there are no more of them than are asked for at one time.
void Server::MakeRoom() {
  const auto oldest =
      std::find_if(visits_.begin(), visits_.end(), [](const auto& visit) { return visit->spared(); });
  if (oldest == visits_.end()) return;
  (*oldest)->Drop();
  visits_.erase(oldest);
}

// Guards against a spin where descriptors or memory ran out.
void Server::AcceptLater() {
  pause_.expires_after(kPause);
  pause_.async_wait([this](error_code error) {
    if (!error) Accept();
  });
}

Answer Server::Serve(const Call& call) {
  if (guard_) {
    if (const auto refused = guard_(call)) {
      if (refused->status == 401)
        return Refuse(call, 401, "no valid token", refused->body.value("error", ""));
      return *refused;
    }
  }
  std::string others;
  std::string right;
  for (const Route& route : routes_) {
    if (route.path == call.path && route.method == call.method) return route.serve(call);
    if (route.path == call.path) right = route.method;
    others += (others.empty() ? "" : ", ") + route.method + ' ' + route.path;
  }
  if (!right.empty()) return Refuse(call, 405, "wrong method", "use " + right);
  return Refuse(call, 404, "unknown command", "unknown; there are " + others);
}

Answer Server::Refuse(const Call& call, unsigned status, const std::string& reason, const std::string& told) {
  log_.Line(label_ + "refused " + Printable(call.method) + ' ' + Printable(call.path) + ": " + reason);
  return Fault(status, told);
}

}  // namespace mothrack::admin
