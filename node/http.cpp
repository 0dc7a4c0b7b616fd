#include "http.h"

#include <boost/beast/http/rfc7230.hpp>
#include <string>
#include <vector>

namespace mothrack {

void RemoveHopByHop(http::fields& fields) {
  std::vector<std::string> named;
  const auto range = fields.equal_range(http::field::connection);
  for (auto it = range.first; it != range.second; ++it) {
    for (const auto& token : http::token_list(it->value())) named.emplace_back(token);
  }
  for (const auto& name : named) fields.erase(name);
  for (const auto field : {http::field::connection, http::field::keep_alive, http::field::proxy_connection,
                           http::field::te, http::field::trailer, http::field::transfer_encoding,
                           http::field::upgrade, http::field::content_length, http::field::expect}) {
    fields.erase(field);
  }
}

}  // namespace mothrack
