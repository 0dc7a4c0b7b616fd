// A small deployment: settings like those of the site, the upstreams of two halls, and the application's
// clients.
#pragma once

#include "standins.h"

namespace review {

struct ClassOfWork {
  const char* name;
  const char* effect;
  double share;
  int deadline_ms;
  double work_ms;  // mean
};
inline constexpr ClassOfWork kClasses[] = {{"station-page", "read_like", 0.46, 1000, 40},
                                           {"turnout-chart", "read_like", 0.31, 2000, 70},
                                           {"seat-table", "read_like", 0.12, 2000, 80},
                                           {"tally-submit", "non_idempotent", 0.11, 4000, 80}};

// `mode`: pushed or on_request.
inline std::string Settings(const std::string& mode, int sidecars) {
  std::string classes;
  const int aims[] = {400, 600, 600, 800};
  const int worths[] = {5, 1, 2, 5};
  for (int i = 0; i < 4; ++i) {
    classes += std::string(i > 0 ? "," : "") + "{\"Name\":\"" + kClasses[i].name + "\",\"Effect\":\"" +
               kClasses[i].effect + "\",\"Aim\":" + std::to_string(aims[i] * 1000) +
               ",\"HardLimit\":" + std::to_string(kClasses[i].deadline_ms * 1000) +
               ",\"KeyScope\":\"all\",\"Window\":5000000,\"Worth\":" + std::to_string(worths[i]) +
               ",\"LateWorth\":0.0,\"Stream\":false}";
  }
  return "{\"Classes\":[" + classes + "],\"MembershipMode\":\"" + mode +
         "\",\"PeersTotal\":" + std::to_string(sidecars) +
         ",\"Me\":0,\"Zone\":\"bole-hall\",\"Weights\":\"nominal\",\"OverShareWorth\":0.1,\"Tenants\":[],"
         "\"Azs\":[\"bole-hall\",\"kality-hall\"],\"Kinds\":[\"fast-3core\",\"slow-3core\"],\"Tier\":0,"
         "\"Limits\":{\"Cancelling\":true,\"ConnectTimeout\":200000,\"IdleClose\":15000000,\"MaxAttempts\":6,"
         "\"MayProbe\":true,\"MaxRetryAfter\":2000000,\"Multiplex\":1,\"RetryAfter\":true,\"SecondCopies\":"
         "true},"
         "\"Prices\":{\"CrossZone\":0.03,\"Handshake\":0.08,\"LateFail\":0.05,\"Probe\":0.01,\"Waste\":0.05},"
         "\"Report\":{\"Fields\":[],\"How\":\"none\"},"
         "\"Rules\":{\"Cold\":24000000,\"ColdFrom\":0.13,\"Fall\":1000000,\"FallMultiple\":4.0,"
         "\"GraceToAnswer\":20000,\"MustAskIn\":10000000,\"StopSendingWithin\":500000}}";
}

// The text of LB_CONFIG. `known`: the elements of the list that the sidecar had.
inline std::string Config(const std::string& listen, const std::string& discovery,
                          const std::string& settings, const std::string& known, const std::string& ops = "",
                          int memory_mb = 192, int sockets = 1024) {
  return "{\"name\":\"n1\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery + "\"," +
         (ops.empty() ? "" : "\"ops\":\"" + ops + "\",") +
         "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" +
         std::to_string(memory_mb) + ",\"sockets\":" + std::to_string(sockets) +
         "},\"known\":{\"rev\":0,\"all\":true,\"targets\":[" + known + "]},\"settings\":" + settings + "}";
}

inline std::string RequestText(const ClassOfWork& of, const std::string& id, int key, int timeout_ms,
                               const std::string& body) {
  const bool post = std::string(of.effect) != "read_like";
  std::string text = std::string(post ? "POST" : "GET") + " /" + of.name + "/s-" + std::to_string(key) +
                     " HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id +
                     "\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
  if (post) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + (post ? body : "");
}

// One class of work by its share.
inline const ClassOfWork& DrawClass(std::mt19937_64& random) {
  double at = std::uniform_real_distribution<>(0, 1)(random);
  for (const ClassOfWork& of : kClasses) {
    if ((at -= of.share) < 0) return of;
  }
  return kClasses[0];
}

inline const ClassOfWork* FindClass(const std::string& target) {
  for (const ClassOfWork& of : kClasses) {
    if (target.rfind(std::string("/") + of.name + "/", 0) == 0) return &of;
  }
  return nullptr;
}

}  // namespace review
