// An upstream of the soak: answers each request as the plan in its target says, and records what it ran. It
// can be replaced by a new process at the same address.
#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include "soak/books.h"
#include "soak/connection.h"

namespace mothrack::soak {

// Listens on a free loopback port, with one thread a connection.
class Upstream {
 public:
  Upstream(Books& books, std::string uid);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::string uid() const;
  // The process ends, which resets its connections, and another one with this uid listens at its address.
  void ReplaceBy(const std::string& uid);
  void ResetConnections();

 private:
  // One accepted connection; removed when the upstream is destroyed.
  struct Session {
    Connection connection;
    std::mutex mutex;  // guards the end of the connection
    std::thread thread;
  };
  struct Request {
    std::string head;
    std::string id;
    std::size_t body_size = 0;
    bool chunked = false;
    int earlier_attempts = 0;
    int resets = 0;  // of this upstream when the request came
    Plan plan;
  };

  void Accept();
  void Serve(Session& session);
  // Both return whether the connection can be used further.
  bool ServeOne(Connection& connection, std::string& buffer);
  bool Answer(Connection& connection, const Request& request);
  bool ReadBody(Connection& connection, const Request& request, std::string& buffer);
  bool SendUnframed(Connection& connection, const Request& request, const std::string& answer);
  bool WriteSound(Connection& connection, const Request& request);
  void Stall(const Request& request) const;
  bool WriteBody(Connection& connection, const Request& request, const std::string& body, std::size_t end);

  Books& books_;
  mutable std::mutex mutex_;
  std::string uid_;
  int listening_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<int> resets_{0};  // calls of ResetConnections()
  std::list<Session> sessions_;
  std::thread accepting_;
};

}  // namespace mothrack::soak
