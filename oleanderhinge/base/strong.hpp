// Strong types over a single value, for identifiers and units.
//
// Two values of different strong types do not convert into each other, so a
// layer index cannot be passed where a token index is expected.
//
// Example:
//   struct port_tag {};
//   using port = strong<port_tag, std::uint16_t>;
//   port p{8080};
//   p.value();  // 8080
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace oleanderhinge::base
{

// Wraps one value of type `Rep`. The default value is `Rep{}`.
template <class Tag, class Rep>
class strong
{
public:
    using rep = Rep;

    constexpr strong() = default;
    constexpr explicit strong(Rep value)
        : held(std::move(value))
    {
    }

    constexpr const Rep& value() const { return this->held; }

    friend constexpr auto operator<=>(const strong&, const strong&) = default;
    friend constexpr bool operator==(const strong&, const strong&) = default;

    // The next value, for counters such as token indexes.
    constexpr strong next() const { return strong{Rep(this->held + 1)}; }

    friend std::ostream& operator<<(std::ostream& out, const strong& id)
    {
        return out << id.held;
    }

    // Serialization by cereal: the bare value.
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->held);
    }

private:
    Rep held{};
};

} // namespace oleanderhinge::base

template <class Tag, class Rep>
struct std::hash<oleanderhinge::base::strong<Tag, Rep>> {
    std::size_t
    operator()(const oleanderhinge::base::strong<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};
