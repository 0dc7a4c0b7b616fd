#include "sidecar/settings_schema.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <limits>
#include <set>
#include <string>
#include <string_view>

#include "sidecar/config.h"

namespace mothrack::sidecar {
namespace {

using nlohmann::json;

enum class Kind { kText, kFlag, kWhole, kNumber };
enum class Presence {
  kRequired,
  kTogether,  // either all such fields of an object or none
  kOptional,
};

// No upper bound.
constexpr auto kAny = std::numeric_limits<double>::max();
constexpr double kDay = 86'400e6;   // microseconds: the longest duration, far below where sums overflow
constexpr double kMostCount = 1e6;  // of sidecars, attempts and the like

// One field of a JSON object and its valid values.
struct FieldSchema {
  const char* name;
  Kind kind;
  Presence presence;
  double least = 0;
  double most = 0;
  std::string_view words{};  // valid words, separated by spaces; empty: any text
};

using enum Kind;
using enum Presence;

constexpr FieldSchema kClassFields[] = {
    {"Name", kText, kRequired},
    {"Effect", kText, kRequired, 0, 0, " read_like idempotency_key non_idempotent "},
    {"Aim", kWhole, kRequired, 1, kDay},
    {"HardLimit", kWhole, kRequired, 1, kDay},
    {"KeyScope", kText, kOptional, 0, 0, " all zone cell "},
    {"Window", kWhole, kOptional, 0, kDay},
    {"Worth", kNumber, kTogether, 0, kAny},
    {"LateWorth", kNumber, kTogether, 0, 1},
    {"Stream", kFlag, kTogether},
    {"AimStretch", kNumber, kOptional, 0, kMostCount},
};
// Fields required of a class with idempotency keys.
constexpr FieldSchema kKeyedFields[] = {
    {"KeyScope", kText, kRequired, 0, 0, " all zone cell "},
    {"Window", kWhole, kRequired, 1, kDay},
};
constexpr FieldSchema kTenantFields[] = {
    {"Name", kText, kRequired},
    {"Share", kNumber, kTogether, 0, kAny},
    {"QuotaPerS", kNumber, kTogether, 0, kAny},
};
constexpr FieldSchema kTopFields[] = {
    {"MembershipMode", kText, kRequired, 0, 0, " pushed on_request "},
    {"PeersTotal", kWhole, kTogether, 1, kMostCount},
    {"Me", kWhole, kTogether, 0, kMostCount},
    {"Zone", kText, kOptional},
    {"Weights", kText, kOptional},
    {"OverShareWorth", kNumber, kOptional, 0, kAny},
};
constexpr FieldSchema kLimitFields[] = {
    {"MaxAttempts", kWhole, kRequired, 1, kMostCount},
    {"SecondCopies", kFlag, kRequired},
    {"Cancelling", kFlag, kRequired},
    {"ConnectTimeout", kWhole, kRequired, 1, kDay},
    {"IdleClose", kWhole, kRequired, 1, kDay},
    {"MayProbe", kFlag, kTogether},
    {"RetryAfter", kFlag, kTogether},
    {"MaxRetryAfter", kWhole, kTogether, 0, kDay},
    {"Multiplex", kWhole, kTogether, 1, kMostCount},
};
constexpr FieldSchema kRuleFields[] = {
    {"GraceToAnswer", kWhole, kTogether, 0, kDay},
    {"StopSendingWithin", kWhole, kTogether, 0, kDay},
    {"ColdFrom", kNumber, kTogether, 1e-9, 1},
    {"Cold", kWhole, kTogether, 1, kDay},
    {"FallMultiple", kNumber, kTogether, 1e-9, kMostCount},
    {"Fall", kWhole, kTogether, 1, kDay},
    {"MustAskIn", kWhole, kOptional, 1, kDay},
};
// Fields required if the endpoint list is sent on request.
constexpr FieldSchema kOnRequestFields[] = {{"MustAskIn", kWhole, kRequired, 1, kDay}};
constexpr FieldSchema kPriceFields[] = {
    {"CrossZone", kNumber, kTogether, 0, kAny}, {"Handshake", kNumber, kTogether, 0, kAny},
    {"Probe", kNumber, kTogether, 0, kAny},     {"Waste", kNumber, kTogether, 0, kAny},
    {"LateFail", kNumber, kTogether, 0, kAny},
};
constexpr FieldSchema kReportFields[] = {{"How", kText, kRequired}};

[[noreturn]] void RejectField(const std::string& path, const std::string& what) {
  throw ConfigError("LB_CONFIG: " + path + ' ' + what);
}

bool IsMissing(const json& object, const char* name) {
  const auto it = object.find(name);
  return it == object.end() || it->is_null();
}

std::string Bound(double number) {
  return json(number < 1e15 && number >= 1 ? std::round(number) : number).dump();
}

void CheckField(const json& field, const FieldSchema& schema, const std::string& path, Pass pass) {
  if (schema.kind == kFlag) {
    if (!field.is_boolean()) RejectField(path, "is neither true nor false");
  } else if (schema.kind == kText) {
    if (!field.is_string()) RejectField(path, "is no text");
    const std::string word = ' ' + field.get<std::string>() + ' ';
    if (!schema.words.empty() && (word.size() < 3 || word.find(' ', 1) + 1 != word.size() ||
                                  schema.words.find(word) == std::string_view::npos)) {
      RejectField(path, "is none of:" + std::string(schema.words.substr(0, schema.words.size() - 1)));
    }
  } else {
    const bool whole = schema.kind == kWhole;
    const std::string kind = whole ? "is no whole number" : "is no number";
    if (!field.is_number()) RejectField(path, kind);
    const double value = field.get<double>();
    // Above the second bound it does not fit the integer type, whatever the range.
    if (whole && (value != std::floor(value) || std::abs(value) > 9e18)) RejectField(path, kind);
    if (pass == Pass::kRange && !(value >= schema.least && value <= schema.most)) {
      RejectField(path, kind + " from " + Bound(schema.least) +
                            (schema.most < kAny ? " to " + Bound(schema.most) : std::string(" on")));
    }
  }
}

template <std::size_t kCount>
void CheckPart(const json& part, const FieldSchema (&fields)[kCount], const std::string& path, Pass pass) {
  if (!part.is_object()) RejectField(path, "is no object");
  const bool together = std::any_of(std::begin(fields), std::end(fields), [&part](const FieldSchema& schema) {
    return schema.presence == kTogether && !IsMissing(part, schema.name);
  });
  for (const FieldSchema& schema : fields) {
    const std::string name = path + '.' + schema.name;
    if (!IsMissing(part, schema.name)) {
      CheckField(part[schema.name], schema, name, pass);
    } else if (schema.presence == kRequired || (schema.presence == kTogether && together)) {
      RejectField(name, "is missing");
    }
  }
}

template <std::size_t kCount>
void CheckList(const json& list, const FieldSchema (&fields)[kCount], const std::string& path, Pass pass) {
  if (!list.is_array()) RejectField(path, "is no list");
  std::set<std::string> names;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const std::string at = path + '[' + std::to_string(i) + ']';
    CheckPart(list[i], fields, at, pass);
    if (!names.insert(list[i]["Name"].get<std::string>()).second) RejectField(at + ".Name", "is there twice");
  }
}

}  // namespace

void CheckSettings(const json& settings, Pass pass) {
  const std::string top = "settings";
  const auto part = [&settings](const char* name) {
    return IsMissing(settings, name) ? json::object() : settings[name];
  };
  if (!settings.is_object()) RejectField(top, "is no object");
  if (IsMissing(settings, "Classes")) RejectField(top + ".Classes", "is missing");
  const json& classes = settings["Classes"];
  CheckList(classes, kClassFields, top + ".Classes", pass);
  if (classes.empty()) RejectField(top + ".Classes", "is an empty list");
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (classes[i]["Effect"] != "idempotency_key") continue;
    CheckPart(classes[i], kKeyedFields, top + ".Classes[" + std::to_string(i) + ']', pass);
  }
  if (!IsMissing(settings, "Tenants")) CheckList(settings["Tenants"], kTenantFields, top + ".Tenants", pass);
  CheckPart(settings, kTopFields, top, pass);
  CheckPart(part("Limits"), kLimitFields, top + ".Limits", pass);
  CheckPart(part("Rules"), kRuleFields, top + ".Rules", pass);
  if (settings["MembershipMode"] == "on_request")
    CheckPart(part("Rules"), kOnRequestFields, top + ".Rules", pass);
  CheckPart(part("Prices"), kPriceFields, top + ".Prices", pass);
  if (!IsMissing(settings, "Report")) CheckPart(settings["Report"], kReportFields, top + ".Report", pass);
}

}  // namespace mothrack::sidecar
