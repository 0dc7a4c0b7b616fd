// Small scripted peers for tests of the sidecar, and the sidecar process itself (Node): its application,
// upstreams and discovery. All use loopback sockets on ports that the system picks.
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

// Polls until the condition holds. Returns false after 20 s, far longer than it should take.
bool Eventually(const std::function<bool()>& condition);

// A connection of a scripted peer. All calls block, bounded only by the test runner's time-out. If the
// connection fails, they return nullopt or false.
class Wire {
 public:
  explicit Wire(boost::asio::io_context& io) : socket(io) {}
  std::optional<Request> ReadRequest();
  std::optional<Response> ReadResponse();
  bool Write(const std::string& bytes);
  bool Answer(unsigned status, const std::string& body, const std::string& headers = "");
  bool ReadsEnd();  // waits until the other side closes the connection
  void Reset();     // closes with a reset

  tcp::socket socket;

 private:
  boost::beast::flat_buffer buffer_;
};

// Sets small segments and a small receive buffer, so that little of a message is accepted while this end does
// not read.
void LimitReceiveBuffer(tcp::acceptor& acceptor);

// Listens on a free port and plays a script for each connection, each in a thread of its own.
class Peer {
 public:
  using Script = std::function<void(Wire&, int connection_number)>;
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

// An upstream that calls the handler for each request and records the requests.
class Upstream {
 public:
  using Handler = std::function<void(Wire&, const Request&, int request_number)>;
  explicit Upstream(Handler handler);
  // A handler that answers 200, with the name and the request's target as the body.
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

// An address where connection attempts hang: the listener's backlog is full.
class BlackHole {
 public:
  BlackHole();
  std::string address() const;
  // The number of connection attempts to this address that hang, without those that fill the backlog.
  int hanging_attempts() const { return CountHanging() - own_hanging_; }

 private:
  int CountHanging() const;

  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  std::vector<tcp::socket> waiting_;
  int own_hanging_ = 0;
};

// An address that refuses connections: its socket is bound but does not listen.
class RefusingAddress {
 public:
  RefusingAddress();
  std::string address() const;

 private:
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
};

// An entry of discovery's endpoint list.
json Target(const std::string& uid, const std::string& endpoint, const std::string& state = "active",
            std::int64_t boot_ms = 0);

// A JSON array of targets. With a braced initializer, compilers differ on whether one target becomes an
// array.
json List(const std::vector<json>& targets);

// A discovery service: lists the targets, and holds a watch until the next version or the end of its wait.
class Discovery {
 public:
  enum class Behavior { kAnswers, kUnresponsive, kClosesConnection, kMalformed };
  explicit Discovery(const json& targets);
  std::string address() const { return peer_->address(); }
  void Publish(const json& targets, bool all = true);  // a new version
  void SetBehavior(Behavior behavior);
  int calls() const { return calls_; }  // lists and watches
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

// Settings with the classes page (safe), submit (unsafe) and keyed.
json Settings();

// The sidecar process under test. The destructor kills it if it still runs.
class Node {
 public:
  struct Options {
    std::string discovery = "127.0.0.1:1";
    json known = nullptr;  // the endpoint list in the configuration file; null: there is none
    json settings = Settings();
    int sockets = 256;
    int memory_mb = 192;
    std::string listen = "127.0.0.1:0";
    std::string ops = "";            // LB_OPS: the listening address of the operators' port; empty: not set
    std::string tmpdir = "";         // $TMPDIR; empty: not set
    std::vector<std::string> unset;  // names of variables that are removed from the environment
    std::string config_text;         // in place of the JSON made from the rest
    bool platform = true;            // the LB_* variables are set
    std::string operator_file;       // the text of the operator file; empty: there is none
    std::vector<std::string> environment{};  // further NAME=VALUE
    int udp_send_interval = 0;               // only every n-th call that sends a datagram succeeds; 0: all do
    int socket_limit = 0;                    // descriptors of this number or more are refused; 0: no limit
    std::string fault_plan = "";  // the file of the FaultPlan that makes its system calls fail; empty: none
    bool lost_wakeups = false;    // epoll never reports a client that waits at a listening socket
    bool log_blocked = false;     // writes to its log block until UnblockLog()
  };
  explicit Node(const Options& options);
  ~Node();
  void UnblockLog();  // starts to read the log; for log_blocked
  bool Listening();   // waits until the node listens
  std::uint16_t port() const { return port_; }
  void Signal(int number);                      // sends the signal to the process
  void Reload(const std::string& config_text);  // replaces the file and sends SIGHUP
  bool OpsListening();                          // waits until the operators' port listens
  std::string ops() const { return "127.0.0.1:" + std::to_string(ops_port_); }
  bool DnsListening();  // waits until the DNS port listens
  std::uint16_t dns_port() const { return dns_port_; }
  void WriteOperatorFile(const std::string& text);  // replaces the file without a reload
  void ReloadOperatorFile(const std::string& text);
  json config() const { return config_; }
  int Wait();  // returns the exit code, or 128 plus the signal that killed the process
  pid_t pid() const { return pid_; }
  std::string log() const;
  int descriptors() const;  // number of open file descriptors

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
  // Waits until the log contains `prefix` and a port after it, and sets `port`. Returns false on timeout.
  bool WaitForPort(const std::string& prefix, std::uint16_t& port);

  std::uint16_t port_ = 0;
  std::uint16_t dns_port_ = 0;
  std::uint16_t ops_port_ = 0;
  json config_;
  std::string config_path_;
  std::string operator_path_;
  mutable std::mutex mutex_;
  std::string log_;
  int log_end_ = -1;  // the pipe's read end until the log is read
  std::thread reading_;
};

// A connection from the application to the sidecar.
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

// The text of a request as an application sends it.
std::string GetText(const std::string& target, const std::string& id, int timeout_ms = 5000);
std::string PostText(const std::string& target, const std::string& id, const std::string& body,
                     int timeout_ms = 5000, const std::string& headers = "");

}  // namespace mothrack::testing
