// Small scripted peers for tests of the node: the program itself, its application, upstreams and discovery,
// all over loopback sockets on ports that the system picks.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "nlohmann/json.hpp"

namespace mothrack::testing {

using boost::asio::ip::tcp;
using nlohmann::json;
using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

// Waits for a condition, far longer than it should take; false where it never came.
bool Eventually(const std::function<bool()>& condition);

// A connection as a script sees it. Everything blocks (the test runner's time-out is the
// bound); failures end what is under way.
class Wire {
 public:
  explicit Wire(boost::asio::io_context& io) : socket(io) {}
  std::optional<Request> ReadRequest();
  std::optional<Response> ReadResponse();
  bool Write(const std::string& bytes);
  bool Answer(unsigned status, const std::string& body, const std::string& headers = "");
  bool ReadsEnd();  // waits for the other side's close
  void Reset();     // closes with a reset

  tcp::socket socket;

 private:
  boost::beast::flat_buffer buffer_;
};

// Makes the system take little of a message that the other end does not read: small segments and buffer.
void LimitReceiveBuffer(tcp::acceptor& acceptor);

// Listens on a free port and plays a script for each connection, each in a thread of its own.
class Peer {
 public:
  using Script = std::function<void(Wire&, int number)>;
  explicit Peer(Script script, bool small_receive_buffer = false);
  ~Peer();
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int connections() const { return connections_; }

 private:
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  Script script_;
  std::uint16_t port_ = 0;
  std::atomic<int> connections_{0};
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<std::shared_ptr<Wire>> wires_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

// An upstream that answers each request by a function of it, and keeps what it was sent.
class Upstream {
 public:
  using Handler = std::function<void(Wire&, const Request&, int request_number)>;
  explicit Upstream(Handler handler);
  static Handler Echo(const std::string& name);
  std::string address() const { return peer_.address(); }
  int connections() const { return peer_.connections(); }
  std::vector<Request> requests() const;

 private:
  mutable std::mutex mutex_;
  std::vector<Request> requests_;
  Handler handler_;
  Peer peer_;
};

// An address where connections never come up: its backlog is full.
class BlackHole {
 public:
  BlackHole();
  std::string address() const;

 private:
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  std::vector<tcp::socket> waiting_;
};

// An address that refuses connections: bound, but nobody listens.
class Refusing {
 public:
  Refusing();
  std::string address() const;

 private:
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
};

json Target(const std::string& uid, const std::string& endpoint, const std::string& state = "active",
            std::int64_t boot_ms = 0);

// A list of targets. (Braces alone would leave it to the compiler whether one target is a list.)
json List(const std::vector<json>& targets);

class Discovery {
 public:
  enum class Behavior { kAnswers, kUnresponsive, kClosesConnection, kMalformed };
  explicit Discovery(const json& targets);
  std::string address() const { return peer_->address(); }
  void Publish(const json& targets, bool all = true);  // a new version
  void SetBehavior(Behavior behavior);
  int calls() const { return calls_; }
  int lists() const { return lists_; }

 private:
  void Serve(Wire& wire);

  std::mutex mutex_;
  std::condition_variable changed_;
  json targets_;
  bool all_ = true;
  int revision_ = 1;
  Behavior behavior_ = Behavior::kAnswers;
  bool stopping_ = false;
  std::atomic<int> calls_{0};
  std::atomic<int> lists_{0};

 public:
  ~Discovery();

 private:
  std::unique_ptr<Peer> peer_;
};

json Settings();

// The program under test.
class Node {
 public:
  struct Options {
    std::string discovery = "127.0.0.1:1";
    json known = nullptr;
    json settings = Settings();
    int sockets = 256;
    std::string listen = "127.0.0.1:0";
    std::string ops = "";     // where operators call: LB_OPS
    std::string tmpdir = "";  // $TMPDIR; empty: none is set
    std::vector<std::string> unset;
    std::string config_text;                 // in place of the JSON made from the rest
    bool platform = true;                    // the LB_* variables are set
    std::string operator_file;               // its text; empty: none is named
    std::vector<std::string> environment{};  // further NAME=VALUE
    int udp_send_interval = 0;    // the system accepts only every n-th datagram at the first try; 0: all
    int socket_limit = 0;         // the system gives it no descriptor of this number or more; 0: no limit
    std::string fault_plan = "";  // the file of a FaultPlan by which its system calls fail; empty: none
    bool lost_wakeups = false;    // epoll never reports a client that waits at a listening socket
    bool log_blocked = false;     // its log takes no byte until UnblockLog(): it stops at its first line
  };
  explicit Node(const Options& options);
  ~Node();
  void UnblockLog();  // reads the log from here on; for log_blocked
  bool Listening();   // waits until it is
  std::uint16_t port() const { return port_; }
  void Signal(int number);
  void Reload(const std::string& config_text);  // replaces the file and tells it
  bool OpsListening();                          // waits until it is
  std::string ops() const { return "127.0.0.1:" + std::to_string(ops_port_); }
  bool DnsListening();  // waits until it is
  std::uint16_t dns_port() const { return dns_port_; }
  void WriteOperatorFile(const std::string& text);  // replaces it, and tells nobody
  void ReloadOperatorFile(const std::string& text);
  json config() const { return config_; }
  int Wait();  // its exit code; 128 and the signal where it was killed
  pid_t pid() const { return pid_; }
  std::string log() const;
  int descriptors() const;

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
  bool Announced(const std::string& mark, std::uint16_t& port);

  std::uint16_t port_ = 0;
  std::uint16_t dns_port_ = 0;
  std::uint16_t ops_port_ = 0;
  json config_;
  std::string config_path_;
  std::string operator_path_;
  mutable std::mutex mutex_;
  std::string log_;
  int log_end_ = -1;  // until it is read
  std::thread reading_;
};

// A connection of the application.
class Client {
 public:
  explicit Client(std::uint16_t port);
  bool Send(const std::string& bytes) { return wire.Write(bytes); }
  std::optional<Response> Read() { return wire.ReadResponse(); }
  std::optional<Response> Get(const std::string& target, const std::string& id, int timeout_ms = 5000);
  std::optional<Response> Post(const std::string& target, const std::string& id, const std::string& body,
                               int timeout_ms = 5000, const std::string& headers = "");

  boost::asio::io_context io;
  Wire wire{io};
};

std::string GetText(const std::string& target, const std::string& id, int timeout_ms = 5000);
std::string PostText(const std::string& target, const std::string& id, const std::string& body,
                     int timeout_ms = 5000, const std::string& headers = "");

}  // namespace mothrack::testing
