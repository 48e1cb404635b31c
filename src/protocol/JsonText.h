#ifndef CORNELRUDDER_PROTOCOL_JSON_TEXT_H
#define CORNELRUDDER_PROTOCOL_JSON_TEXT_H

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornelrudder::protocol {

/**
 * Maximum nesting of a JSON text. Copying and encoding a value recurse once for
 * each level, and completions run on coroutine stacks of 128 KB.
 */
inline constexpr std::size_t kMaxJsonDepth = 32;

/**
 * Encodes a JSON value. Replaces bytes that are not valid UTF-8, which external
 * input may contain, so that encoding does not throw.
 */
std::string
ToText(const nlohmann::json& aValue);

/**
 * Parses a JSON text of another process. Checks the nesting and the
 * number of values before it allocates memory for values.
 * @param aWhat Names the text in errors.
 * @param aMaxValues Limit of the number of values.
 * @throws ProtocolError if the text is not valid JSON, has more values or is
 *   nested more than kMaxJsonDepth levels deep.
 */
nlohmann::json
ParseJson(std::string_view aText,
          std::string_view aWhat,
          std::size_t aMaxValues = std::numeric_limits<std::size_t>::max());

/** Inclusive bounds of a number. */
struct NumberRange
{
  std::int64_t mMin;
  std::int64_t mMax;
};

/** Versions, epochs and other counters, which are exact as a double. */
inline constexpr NumberRange kCounterRange{ 0, std::int64_t{ 1 } << 53U };

/**
 * Durations, clock readings and times since 1970, in milliseconds, up to the
 * year 2096. The sum of two of them does not overflow as nanoseconds.
 */
inline constexpr NumberRange kMillisecondsRange{ 0, 4'000'000'000'000 };

/**
 * Resources of a worker or a task. The sum over all workers, and the product
 * with a number of tasks, does not overflow.
 */
inline constexpr NumberRange kResourceRange{ 0, 1'000'000'000'000 };

/** The name of an object's field or the index of an array's element. */
using JsonKey = std::variant<std::string_view, int>;

/**
 * Checks the types and the ranges of the elements of a JSON object or array.
 * Refers to the value, which must stay alive. All functions throw
 * ProtocolError, which names the element, what was found and what is allowed.
 */
class JsonReader
{
public:
  /** @param aWhat Names the value in errors. */
  JsonReader(const nlohmann::json& aValue, std::string aWhat);

  /** @return Whether this object or array has the element. */
  bool Has(JsonKey aKey) const;
  /** @return Whether it has the element, and that is an array. */
  bool HasArray(JsonKey aKey) const;

  /** @return A whole number, which may be encoded as 4.0. */
  std::int64_t Integer(JsonKey aKey, NumberRange aRange) const;
  std::int64_t Integer(JsonKey aKey,
                       NumberRange aRange,
                       std::int64_t aDefault) const;

  /** @return A whole number in kCounterRange. */
  std::uint64_t Counter(JsonKey aKey) const;
  std::uint64_t Counter(JsonKey aKey, std::uint64_t aDefault) const;

  /** @return A number without its fraction. */
  std::int64_t Truncated(JsonKey aKey, NumberRange aRange) const;

  /** @return A time without fractions of a millisecond. */
  std::chrono::milliseconds Milliseconds(JsonKey aKey) const;
  std::chrono::milliseconds Milliseconds(
    JsonKey aKey,
    std::chrono::milliseconds aDefault) const;

  double Real(JsonKey aKey, NumberRange aRange) const;
  double Real(JsonKey aKey, NumberRange aRange, double aDefault) const;

  std::string Text(JsonKey aKey) const;
  std::string Text(JsonKey aKey, std::string_view aDefault) const;

  bool Flag(JsonKey aKey) const;
  bool Flag(JsonKey aKey, bool aDefault) const;

  /** @return The strings of an array; none if it is absent. */
  std::vector<std::string> Texts(JsonKey aKey) const;

  /** @return The counters of an array; none if it is absent. */
  std::vector<std::size_t> Counters(JsonKey aKey) const;

  /** @return The counters of an object, by their names. */
  std::map<std::string, std::uint64_t> CountersByName(JsonKey aKey) const;

  /** @return Readers of the elements of an array; none if it is absent. */
  std::vector<JsonReader> Elements(JsonKey aKey) const;

  JsonReader At(JsonKey aKey) const;

private:
  static constexpr int kNoIndex = -1;

  JsonReader(const nlohmann::json& aValue,
             std::shared_ptr<const std::string> aWhat,
             int aIndex);

  const nlohmann::json* Find(const JsonKey& aKey) const;
  const nlohmann::json& Require(const JsonKey& aKey) const;
  const nlohmann::json& RequireNumber(const JsonKey& aKey,
                                      NumberRange aRange) const;
  /** @return The value's name in errors. */
  std::string Name() const;
  [[noreturn]] void Fail(const JsonKey& aKey,
                         const nlohmann::json& aFound,
                         const std::string& aAllowed) const;

  const nlohmann::json* mValue;
  /** Shared by the elements of an array, which only add their index. */
  std::shared_ptr<const std::string> mWhat;
  int mIndex = kNoIndex;
};

/**
 * @return The text, in which bytes that are not valid UTF-8 are replaced. The
 *   length of the text may change.
 */
std::string
ReplaceInvalidUtf8(const std::string& aText);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_JSON_TEXT_H
