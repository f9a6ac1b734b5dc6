//! The numbered table of request classes. New settings only add entries, so that open requests keep their
//! class.

use mountbend::interface::Class;

use crate::settings::EnvClass;

/// All current and former classes; the index is the number by which the load balancer knows a class.
#[derive(Debug, Default)]
pub struct ClassTable {
    entries: Vec<EnvClass>,
}

impl ClassTable {
    /// Adds the classes of new settings and returns the number of each. A class that exists with the same
    /// rules keeps its number; one with changed rules gets a new number, since the effect of an open request
    /// must not change.
    pub fn assign_numbers(&mut self, classes: &[EnvClass]) -> Vec<usize> {
        let mut number = |class: &EnvClass| {
            self.entries.iter().position(|known| known == class).unwrap_or_else(|| {
                self.entries.push(class.clone());
                self.entries.len() - 1
            })
        };
        classes.iter().map(&mut number).collect()
    }

    /// The class names by number.
    pub fn names(&self) -> Vec<String> {
        self.entries.iter().map(|c| c.name.clone()).collect()
    }

    /// The complete table in the form that the load balancer uses.
    pub fn all(&self) -> Vec<Class> {
        self.entries.iter().cloned().map(Class::from).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use mountbend::interface::Effect;

    fn class(name: &str, effect: &str, deadline: u64) -> EnvClass {
        let text = format!(r#"{{"name":"{name}","effect":"{effect}","on_time":1,"deadline":{deadline}}}"#);
        serde_json::from_str(&text).expect("a class")
    }

    #[test]
    fn numbers_are_permanent_and_changed_rules_get_a_new_one() {
        let mut table = ClassTable::default();
        assert_eq!(table.assign_numbers(&[class("a", "safe", 9), class("b", "unsafe", 9)]), [0, 1]);
        assert_eq!(
            table.assign_numbers(&[class("b", "unsafe", 9), class("c", "keyed", 9)]),
            [1, 2],
            "a dropped, c new"
        );
        assert_eq!(table.assign_numbers(&[class("b", "safe", 9), class("a", "safe", 8)]), [3, 4]);
        assert_eq!(
            table.assign_numbers(&[class("a", "safe", 9), class("b", "unsafe", 9)]),
            [0, 1],
            "and back again"
        );
        let effects: Vec<_> = table.all().iter().map(|c| c.effect).collect();
        assert_eq!(effects, [Effect::Safe, Effect::Unsafe, Effect::Keyed, Effect::Safe, Effect::Safe]);
    }
}
