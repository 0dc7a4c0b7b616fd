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

enum class Kind { kText, kFlag, kInteger, kNumber };
enum class Presence {
  kRequired,
  kAllOrNone,  // either all such fields of an object or none
  kOptional,
};

// The upper bound of a field that has none.
constexpr auto kUnbounded = std::numeric_limits<double>::max();
constexpr double kMaxDurationUs = 86'400e6;  // a day; sums of such durations don't overflow
constexpr double kMaxCount = 1e6;            // upper bound of the number of sidecars, attempts and the like

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
    {"Aim", kInteger, kRequired, 1, kMaxDurationUs},
    {"HardLimit", kInteger, kRequired, 1, kMaxDurationUs},
    {"KeyScope", kText, kOptional, 0, 0, " all zone cell "},
    {"Window", kInteger, kOptional, 0, kMaxDurationUs},
    {"Worth", kNumber, kAllOrNone, 0, kUnbounded},
    {"LateWorth", kNumber, kAllOrNone, 0, 1},
    {"Stream", kFlag, kAllOrNone},
    {"AimStretch", kNumber, kOptional, 0, kMaxCount},
};
// Fields required of a class with idempotency keys.
constexpr FieldSchema kKeyedFields[] = {
    {"KeyScope", kText, kRequired, 0, 0, " all zone cell "},
    {"Window", kInteger, kRequired, 1, kMaxDurationUs},
};
constexpr FieldSchema kTenantFields[] = {
    {"Name", kText, kRequired},
    {"Share", kNumber, kAllOrNone, 0, kUnbounded},
    {"QuotaPerS", kNumber, kAllOrNone, 0, kUnbounded},
};
constexpr FieldSchema kTopFields[] = {
    {"MembershipMode", kText, kRequired, 0, 0, " pushed on_request "},
    {"PeersTotal", kInteger, kAllOrNone, 1, kMaxCount},
    {"Me", kInteger, kAllOrNone, 0, kMaxCount},
    {"Zone", kText, kOptional},
    {"Weights", kText, kOptional},
    {"OverShareWorth", kNumber, kOptional, 0, kUnbounded},
};
constexpr FieldSchema kLimitFields[] = {
    {"MaxAttempts", kInteger, kRequired, 1, kMaxCount},
    {"SecondCopies", kFlag, kRequired},
    {"Cancelling", kFlag, kRequired},
    {"ConnectTimeout", kInteger, kRequired, 1, kMaxDurationUs},
    {"IdleClose", kInteger, kRequired, 1, kMaxDurationUs},
    {"MayProbe", kFlag, kAllOrNone},
    {"RetryAfter", kFlag, kAllOrNone},
    {"MaxRetryAfter", kInteger, kAllOrNone, 0, kMaxDurationUs},
    {"Multiplex", kInteger, kAllOrNone, 1, kMaxCount},
};
constexpr FieldSchema kRuleFields[] = {
    {"GraceToAnswer", kInteger, kAllOrNone, 0, kMaxDurationUs},
    {"StopSendingWithin", kInteger, kAllOrNone, 0, kMaxDurationUs},
    {"ColdFrom", kNumber, kAllOrNone, 1e-9, 1},
    {"Cold", kInteger, kAllOrNone, 1, kMaxDurationUs},
    {"FallMultiple", kNumber, kAllOrNone, 1e-9, kMaxCount},
    {"Fall", kInteger, kAllOrNone, 1, kMaxDurationUs},
    {"MustAskIn", kInteger, kOptional, 1, kMaxDurationUs},
};
// Fields required if the endpoint list is sent only on request (MembershipMode on_request).
constexpr FieldSchema kOnRequestFields[] = {{"MustAskIn", kInteger, kRequired, 1, kMaxDurationUs}};
constexpr FieldSchema kPriceFields[] = {
    {"CrossZone", kNumber, kAllOrNone, 0, kUnbounded}, {"Handshake", kNumber, kAllOrNone, 0, kUnbounded},
    {"Probe", kNumber, kAllOrNone, 0, kUnbounded},     {"Waste", kNumber, kAllOrNone, 0, kUnbounded},
    {"LateFail", kNumber, kAllOrNone, 0, kUnbounded},
};
constexpr FieldSchema kReportFields[] = {{"How", kText, kRequired}};

[[noreturn]] void RejectField(const std::string& path, const std::string& what) {
  throw ConfigError("LB_CONFIG: " + path + ' ' + what);
}

bool IsMissing(const json& object, const char* name) {
  const auto it = object.find(name);
  return it == object.end() || it->is_null();
}

// The text of a bound; without decimals if it is 1 or more.
std::string BoundText(double number) {
  return json(number < 1e15 && number >= 1 ? std::round(number) : number).dump();
}

void CheckField(const json& field, const FieldSchema& schema, const std::string& path, Pass pass) {
  if (schema.kind == kFlag) {
    if (!field.is_boolean()) RejectField(path, "is neither true nor false");
  } else if (schema.kind == kText) {
    if (!field.is_string()) RejectField(path, "is not a string");
    const std::string word = ' ' + field.get<std::string>() + ' ';
    if (!schema.words.empty() && (word.size() < 3 || word.find(' ', 1) + 1 != word.size() ||
                                  schema.words.find(word) == std::string_view::npos)) {
      RejectField(path, "is not one of:" + std::string(schema.words.substr(0, schema.words.size() - 1)));
    }
  } else {
    const bool integral = schema.kind == kInteger;
    const std::string kind = integral ? "is not an integer" : "is not a number";
    if (!field.is_number()) RejectField(path, kind);
    const double value = field.get<double>();
    // A magnitude above 9e18 does not fit a 64-bit integer, whatever the field's range.
    if (integral && (value != std::floor(value) || std::abs(value) > 9e18)) RejectField(path, kind);
    if (pass == Pass::kRanges && !(value >= schema.least && value <= schema.most)) {
      RejectField(path, kind + (schema.most < kUnbounded
                                    ? " from " + BoundText(schema.least) + " to " + BoundText(schema.most)
                                    : " of at least " + BoundText(schema.least)));
    }
  }
}

template <std::size_t kCount>
void CheckObject(const json& object, const FieldSchema (&fields)[kCount], const std::string& path,
                 Pass pass) {
  if (!object.is_object()) RejectField(path, "is not an object");
  const bool any_present =
      std::any_of(std::begin(fields), std::end(fields), [&object](const FieldSchema& schema) {
        return schema.presence == kAllOrNone && !IsMissing(object, schema.name);
      });
  for (const FieldSchema& schema : fields) {
    const std::string name = path + '.' + schema.name;
    if (!IsMissing(object, schema.name)) {
      CheckField(object[schema.name], schema, name, pass);
    } else if (schema.presence == kRequired || (schema.presence == kAllOrNone && any_present)) {
      RejectField(name, "is missing");
    }
  }
}

template <std::size_t kCount>
void CheckArray(const json& array, const FieldSchema (&fields)[kCount], const std::string& path, Pass pass) {
  if (!array.is_array()) RejectField(path, "is not an array");
  std::set<std::string> names;
  for (std::size_t i = 0; i < array.size(); ++i) {
    const std::string at = path + '[' + std::to_string(i) + ']';
    CheckObject(array[i], fields, at, pass);
    if (!names.insert(array[i]["Name"].get<std::string>()).second)
      RejectField(at + ".Name", "is already the name of another element");
  }
}

}  // namespace

void CheckSettings(const json& settings, Pass pass) {
  const std::string top = "settings";
  const auto section = [&settings](const char* name) {
    return IsMissing(settings, name) ? json::object() : settings[name];
  };
  if (!settings.is_object()) RejectField(top, "is not an object");
  if (IsMissing(settings, "Classes")) RejectField(top + ".Classes", "is missing");
  const json& classes = settings["Classes"];
  CheckArray(classes, kClassFields, top + ".Classes", pass);
  if (classes.empty()) RejectField(top + ".Classes", "is an empty array");
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (classes[i]["Effect"] != "idempotency_key") continue;
    CheckObject(classes[i], kKeyedFields, top + ".Classes[" + std::to_string(i) + ']', pass);
  }
  if (!IsMissing(settings, "Tenants")) CheckArray(settings["Tenants"], kTenantFields, top + ".Tenants", pass);
  CheckObject(settings, kTopFields, top, pass);
  CheckObject(section("Limits"), kLimitFields, top + ".Limits", pass);
  CheckObject(section("Rules"), kRuleFields, top + ".Rules", pass);
  if (settings["MembershipMode"] == "on_request")
    CheckObject(section("Rules"), kOnRequestFields, top + ".Rules", pass);
  CheckObject(section("Prices"), kPriceFields, top + ".Prices", pass);
  if (!IsMissing(settings, "Report")) CheckObject(settings["Report"], kReportFields, top + ".Report", pass);
}

}  // namespace mothrack::sidecar
