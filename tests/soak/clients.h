// The clients of the soak. Each runs on a thread of its own and draws what it does from its seed, until
// Stop().
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "soak/books.h"
#include "soak/connection.h"

namespace mothrack::soak {

class Clients {
 public:
  Clients(Books& books, std::uint16_t port, std::uint64_t seed) : books_(books), port_(port), seed_(seed) {}
  ~Clients() { Stop(); }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  // `usual`: clients that send request after request on connections that they keep, many of them short, some
  // with slow answers or long bodies. `leaving`: clients that close with a request out, and send its id again
  // later.
  void Start(int usual, int leaving);
  // This many connections at once that stop half way through a request, write or read slowly, or send heads
  // of very many short fields.
  // Clients most of whose answers stall in their middle for 6.8 to 21 s.
  void StartStalled(int count);
  void StartCrowd(int connections);
  // One client that sends small or unsound requests at full speed, under ever new names.
  void StartFlood();
  // This many clients with one request each, half of them to an upstream that never answers. They write the
  // beginning now and the last byte up to 2 s later. Returns once the beginnings are written.
  void StartSlowWriters(int clients);
  // Waits until all clients have ended; each ends what it has begun.
  void Stop();

 private:
  using Random = std::mt19937_64;

  void Run(int number, bool stalls);
  void RunLeaving(int number);
  void RunCrowd(int connections);
  void RunFlood();
  void RunSlowWriter(int number, const std::function<void()>& on_begun);
  // Sends one request and waits for its end. Returns whether the connection can be used further.
  bool Exchange(Connection& connection, bool reused, Random& random, const std::string& id, bool stalls);
  bool WriteRequest(Connection& connection, Random& random, const std::string& text, const std::string& body);
  void RecordLeft(Connection& connection, const std::string& id);

  Books& books_;
  const std::uint16_t port_;
  const std::uint64_t seed_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

}  // namespace mothrack::soak
