#include "JsonText.h"

#include "cornelrudder/protocol/ProtocolError.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

namespace cornelrudder::protocol {

using nlohmann::json;

namespace {

/** Limit for input that is quoted in errors, which are logged. */
constexpr std::size_t kMaxQuotedBytes = 160;

/** What a text takes as a document, if it is valid JSON; else an estimate. */
struct JsonMeasure
{
  std::size_t mDepth = 0;
  std::size_t mValues = 1;
};

JsonMeasure
Measure(std::string_view aText)
{
  JsonMeasure measure;
  std::size_t depth = 0;
  bool isInString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char it = aText[i];
    if (isInString) {
      // Skips the character after a backslash, which may be a quote.
      i += it == '\\' ? 1 : 0;
      isInString = it != '"';
    } else if (it == '"') {
      isInString = true;
    } else if (it == '[' || it == '{') {
      measure.mDepth = std::max(measure.mDepth, ++depth);
      ++measure.mValues;
    } else if (it == ']' || it == '}') {
      depth -= depth > 0 ? 1 : 0;
    } else if (it == ',') {
      ++measure.mValues;
    }
  }
  return measure;
}

std::string
Quote(const json& aValue)
{
  // Encoding an array or an object could take long for large input.
  return aValue.is_structured() ? std::string(aValue.type_name())
                                : ToText(aValue).substr(0, kMaxQuotedBytes);
}

std::string
KeyText(const JsonKey& aKey)
{
  const auto* name = std::get_if<std::string_view>(&aKey);
  return name != nullptr ? "field " + std::string(*name)
                         : "element " + std::to_string(std::get<int>(aKey));
}

std::string
RangeText(const char* aKind, NumberRange aRange)
{
  return std::string(aKind) + " from " + std::to_string(aRange.mMin) + " to " +
         std::to_string(aRange.mMax);
}

bool
IsInRange(const json& aValue, NumberRange aRange)
{
  if (aValue.is_number_float()) {
    // Converting a double that is out of range to an integer is undefined.
    // 2^63 is the lowest double above all integers.
    constexpr double kEndOfIntegers = 9223372036854775808.0;
    const auto n = aValue.get<double>();
    return n >= static_cast<double>(aRange.mMin) &&
           n <= static_cast<double>(aRange.mMax) && n < kEndOfIntegers;
  }
  if (aValue.is_number_unsigned()) {
    const auto n = aValue.get<std::uint64_t>();
    return std::cmp_greater_equal(n, aRange.mMin) &&
           std::cmp_less_equal(n, aRange.mMax);
  }
  if (!aValue.is_number_integer()) {
    return false;
  }
  const auto n = aValue.get<std::int64_t>();
  return n >= aRange.mMin && n <= aRange.mMax;
}

} // namespace

std::string
ToText(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

json
ParseJson(std::string_view aText,
          std::string_view aWhat,
          std::size_t aMaxValues)
{
  const JsonMeasure measure = Measure(aText);
  if (measure.mValues > aMaxValues) {
    throw ProtocolError(std::string(aWhat) + ": the JSON text has about " +
                        std::to_string(measure.mValues) +
                        " values; allowed are " + std::to_string(aMaxValues));
  }
  if (measure.mDepth > kMaxJsonDepth) {
    throw ProtocolError(std::string(aWhat) +
                        ": the JSON text is nested too deeply; allowed are " +
                        std::to_string(kMaxJsonDepth) + " levels");
  }
  try {
    return json::parse(aText);
  } catch (const json::exception& error) {
    throw ProtocolError(std::string(aWhat) + ": " +
                        std::string(error.what()).substr(0, kMaxQuotedBytes));
  }
}

JsonReader::JsonReader(const json& aValue, std::string aWhat)
  : JsonReader(aValue,
               std::make_shared<const std::string>(std::move(aWhat)),
               kNoIndex)
{
}

JsonReader::JsonReader(const json& aValue,
                       std::shared_ptr<const std::string> aWhat,
                       int aIndex)
  : mValue(&aValue)
  , mWhat(std::move(aWhat))
  , mIndex(aIndex)
{
}

bool
JsonReader::Has(JsonKey aKey) const
{
  return Find(aKey) != nullptr;
}

bool
JsonReader::HasArray(JsonKey aKey) const
{
  const json* value = Find(aKey);
  return value != nullptr && value->is_array();
}

std::int64_t
JsonReader::Integer(JsonKey aKey, NumberRange aRange) const
{
  const json& value = RequireNumber(aKey, aRange);
  if (value.is_number_float() &&
      value.get<double>() != std::trunc(value.get<double>())) {
    Fail(aKey, value, RangeText("a whole number", aRange));
  }
  return value.get<std::int64_t>();
}

std::int64_t
JsonReader::Integer(JsonKey aKey,
                    NumberRange aRange,
                    std::int64_t aDefault) const
{
  return Has(aKey) ? Integer(aKey, aRange) : aDefault;
}

std::uint64_t
JsonReader::Counter(JsonKey aKey) const
{
  return static_cast<std::uint64_t>(Integer(aKey, kCounterRange));
}

std::uint64_t
JsonReader::Counter(JsonKey aKey, std::uint64_t aDefault) const
{
  return Has(aKey) ? Counter(aKey) : aDefault;
}

std::int64_t
JsonReader::Truncated(JsonKey aKey, NumberRange aRange) const
{
  return RequireNumber(aKey, aRange).get<std::int64_t>();
}

std::chrono::milliseconds
JsonReader::Milliseconds(JsonKey aKey) const
{
  return std::chrono::milliseconds(Truncated(aKey, kMillisecondsRange));
}

std::chrono::milliseconds
JsonReader::Milliseconds(JsonKey aKey, std::chrono::milliseconds aDefault) const
{
  return Has(aKey) ? Milliseconds(aKey) : aDefault;
}

double
JsonReader::Real(JsonKey aKey, NumberRange aRange) const
{
  return RequireNumber(aKey, aRange).get<double>();
}

double
JsonReader::Real(JsonKey aKey, NumberRange aRange, double aDefault) const
{
  return Has(aKey) ? Real(aKey, aRange) : aDefault;
}

std::string
JsonReader::Text(JsonKey aKey) const
{
  const json& value = Require(aKey);
  if (!value.is_string()) {
    Fail(aKey, value, "a string");
  }
  return value.get<std::string>();
}

std::string
JsonReader::Text(JsonKey aKey, std::string_view aDefault) const
{
  return Has(aKey) ? Text(aKey) : std::string(aDefault);
}

bool
JsonReader::Flag(JsonKey aKey) const
{
  const json& value = Require(aKey);
  if (!value.is_boolean()) {
    Fail(aKey, value, "true or false");
  }
  return value.get<bool>();
}

bool
JsonReader::Flag(JsonKey aKey, bool aDefault) const
{
  return Has(aKey) ? Flag(aKey) : aDefault;
}

std::vector<std::string>
JsonReader::Texts(JsonKey aKey) const
{
  std::vector<std::string> texts;
  if (Has(aKey)) {
    const JsonReader list = At(aKey);
    for (int i = 0; list.Has(i); ++i) {
      texts.push_back(list.Text(i));
    }
  }
  return texts;
}

std::vector<std::size_t>
JsonReader::Counters(JsonKey aKey) const
{
  std::vector<std::size_t> numbers;
  if (Has(aKey)) {
    const JsonReader list = At(aKey);
    for (int i = 0; list.Has(i); ++i) {
      numbers.push_back(list.Counter(i));
    }
  }
  return numbers;
}

std::map<std::string, std::uint64_t>
JsonReader::CountersByName(JsonKey aKey) const
{
  const json& object = Require(aKey);
  if (!object.is_object()) {
    Fail(aKey, object, "an object");
  }
  const JsonReader reader = At(aKey);
  std::map<std::string, std::uint64_t> numbers;
  for (const auto& [name, value] : object.items()) {
    numbers.emplace(name, reader.Counter(name));
  }
  return numbers;
}

std::vector<JsonReader>
JsonReader::Elements(JsonKey aKey) const
{
  std::vector<JsonReader> readers;
  const json* list = Find(aKey);
  if (list == nullptr) {
    return readers;
  }
  if (!list->is_array()) {
    Fail(aKey, *list, "an array");
  }
  const auto what =
    std::make_shared<const std::string>(Name() + ": " + KeyText(aKey));
  readers.reserve(list->size());
  for (const json& element : *list) {
    readers.push_back(
      JsonReader(element, what, static_cast<int>(readers.size())));
  }
  return readers;
}

JsonReader
JsonReader::At(JsonKey aKey) const
{
  return { Require(aKey), Name() + ": " + KeyText(aKey) };
}

const json*
JsonReader::Find(const JsonKey& aKey) const
{
  if (const auto* name = std::get_if<std::string_view>(&aKey)) {
    if (!mValue->is_object()) {
      throw ProtocolError(Name() + ": found " + Quote(*mValue) +
                          "; allowed is an object");
    }
    const auto it = mValue->find(*name);
    return it != mValue->end() ? &*it : nullptr;
  }
  if (!mValue->is_array()) {
    throw ProtocolError(Name() + ": found " + Quote(*mValue) +
                        "; allowed is an array");
  }
  const auto i = static_cast<std::size_t>(std::get<int>(aKey));
  return i < mValue->size() ? &(*mValue)[i] : nullptr;
}

const json&
JsonReader::Require(const JsonKey& aKey) const
{
  const json* value = Find(aKey);
  if (value == nullptr) {
    throw ProtocolError(Name() + ": " + KeyText(aKey) + " is missing");
  }
  return *value;
}

const json&
JsonReader::RequireNumber(const JsonKey& aKey, NumberRange aRange) const
{
  const json& value = Require(aKey);
  if (!IsInRange(value, aRange)) {
    Fail(aKey, value, RangeText("a number", aRange));
  }
  return value;
}

std::string
JsonReader::Name() const
{
  return mIndex == kNoIndex ? *mWhat
                            : *mWhat + ": element " + std::to_string(mIndex);
}

void
JsonReader::Fail(const JsonKey& aKey,
                 const json& aFound,
                 const std::string& aAllowed) const
{
  throw ProtocolError(Name() + ": " + KeyText(aKey) + ": found " +
                      Quote(aFound) + "; allowed is " + aAllowed);
}

std::string
ReplaceInvalidUtf8(const std::string& aText)
{
  return json::parse(ToText(aText)).get<std::string>();
}

} // namespace cornelrudder::protocol
