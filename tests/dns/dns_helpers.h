// Helpers of the DNS tests that run the real program: operator files, queries by name, and DNS counters.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "standins/dns_client.h"
#include "standins/peers.h"
#include "standins/resolver.h"

namespace mothrack::testing {

inline constexpr int kFormErr = 1;
inline constexpr int kServFail = 2;
inline constexpr int kNotImp = 4;
inline constexpr int kRefused = 5;
// How long a test waits to show that no message arrives.
inline constexpr std::chrono::milliseconds kQuietPeriod{150};

struct ResolverList {
  std::string text;
  ResolverList& Add(const std::string& uid, const std::string& endpoint,
                    const std::string& state = "active") {
    text += "[[dns.resolver]]\nuid = \"" + uid + "\"\nendpoint = \"" + endpoint + "\"\nstate = \"" + state +
            "\"\n";
    return *this;
  }
};

inline std::string OperatorFile(const ResolverList& upstreams, const std::string& dns = "",
                                const std::string& top = "") {
  return top + "[dns]\nlisten = [\"127.0.0.1:0\"]\n" + dns + "\n" + upstreams.text;
}

inline Node::Options DnsOnlyOptions(const std::string& file) {
  Node::Options options;
  options.platform = false;
  options.operator_file = file;
  return options;
}

inline QuerySpec QueryFor(const std::string& name, std::uint16_t id = 0x1234) {
  QuerySpec spec;
  spec.name = name;
  spec.id = id;
  return spec;
}

// Reloads the operator's file and returns a counter that the program logs then; -1 if it logs none.
inline long ReadCounter(Node& node, const std::string& file, const std::string& name) {
  const std::size_t before = node.log().size();
  node.ReloadOperatorFile(file);
  const std::string mark = " " + name + "=";
  std::size_t at = std::string::npos;
  if (!Eventually([&] {
        at = node.log().find(mark, before);
        return at != std::string::npos &&
               node.log().find(" info resolvers_reloaded file=", at) != std::string::npos;
      })) {
    return -1;
  }
  return std::stol(node.log().substr(at + mark.size()));
}

// Shared by the resolver scripts of one test, to tell which query is the first at any resolver.
struct SharedQueryCount {
  std::atomic<int> queries{0};
};

}  // namespace mothrack::testing
