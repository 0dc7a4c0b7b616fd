// A stand-in for a DNS resolver on a loopback port, UDP and TCP, that answers by a script and records the
// queries. It has one thread, which blocks only on the network.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standins/dns_wire.h"

namespace mothrack::testing {

class StandinResolver {
 public:
  enum class Via { kUdp, kTcp };

  struct RecordedQuery {
    Octets query;
    Via via = Via::kUdp;
    std::uint16_t from_port = 0;
    std::chrono::steady_clock::time_point at;
    int connection = -1;  // over TCP: the connection's number
  };

  // Answers one query. Valid only while the script runs, but a copy may answer a query over UDP later, from
  // any thread. SendAfter() schedules a later answer.
  class Responder {
   public:
    const Octets& query() const { return query_.query; }
    Via via() const { return query_.via; }
    int number() const { return number_; }  // the query's number, from 0
    // Sends a message; over TCP with the length prefix.
    void Send(const Octets& answer);
    void Answer(const AnswerSpec& spec = {}) { Send(MakeAnswer(query(), spec)); }
    // Over TCP: sends the bytes without a length prefix.
    void SendRaw(const Octets& bytes);
    // Over TCP: breaks the connection with a reset.
    void Reset();
    // Sends the answer after the delay, unless its connection is closed by then.
    void SendAfter(std::chrono::milliseconds delay, const Octets& answer);

   private:
    friend class StandinResolver;
    StandinResolver& owner_;
    RecordedQuery query_;
    int number_ = 0;
    int fd_ = -1;  // of the connection, or the UDP socket
    std::vector<std::uint8_t> peer_;

    explicit Responder(StandinResolver& owner) : owner_(owner) {}
  };

  using Script = std::function<void(Responder&)>;
  static Script Echo() {
    return [](Responder& responder) { responder.Answer(); };
  }
  // Reads all queries and answers none.
  static Script Unresponsive() {
    return [](Responder&) {};
  }

  // `tcp`: whether the TCP port listens. `port`: 0 selects a free port.
  explicit StandinResolver(Script script, bool tcp = true, std::uint16_t port = 0);
  ~StandinResolver();

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::uint16_t port() const { return port_; }
  void SetScript(Script script);  // from now on

  // The queries received so far, in order, up to StopRecording().
  std::vector<RecordedQuery> seen() const;
  int queries() const { return udp_queries_ + tcp_queries_; }
  int udp_queries() const { return udp_queries_; }
  int tcp_queries() const { return tcp_queries_; }
  int connections() const { return connections_; }
  // From now on queries are only counted, not recorded; for long runs.
  void StopRecording() { recording_ = false; }

 private:
  struct Connection {
    int number = 0;
    Octets read;
  };
  struct DelayedAnswer {
    int fd = -1;
    int number = -1;  // of the connection
    std::vector<std::uint8_t> peer;
    Octets bytes;
  };

  void Loop();
  void ReceiveDatagrams();
  void ReceiveBytes(int fd);
  void Handle(Responder& responder);
  void SendNow(int fd, const std::vector<std::uint8_t>& peer, const Octets& bytes);
  void CloseConnection(int fd);

  int udp_ = -1;
  int listening_ = -1;
  int epoll_ = -1;
  int wake_ = -1;
  std::uint16_t port_ = 0;
  mutable std::mutex mutex_;
  Script script_;
  std::vector<RecordedQuery> seen_;
  std::atomic<bool> recording_{true};
  std::atomic<int> udp_queries_{0};
  std::atomic<int> tcp_queries_{0};
  std::atomic<int> connections_{0};
  std::map<int, Connection> open_;
  std::multimap<std::chrono::steady_clock::time_point, DelayedAnswer> delayed_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace mothrack::testing
