//! Planning and fencing of engine orders.

use serde_json::json;
use silversail_control::{
    plan_orders, LoadedModels, Order, OrderAction, OrderCommand, OrderId, OrderReply, OrderTable,
};
use silversail_model::{Configuration, ConfigurationDocument};

fn configuration(replicas: u32, engines: usize) -> Configuration {
    let backends: Vec<_> = (0..engines)
        .map(|number| {
            json!({ "name": format!("e{number}"), "kind": "engine", "address": "127.0.0.1:1",
                    "managed": true, "labels": { "zone": format!("z{}", number % 2) } })
        })
        .collect();
    let document = json!({
        "backends": backends,
        "models": [{ "name": "m", "replicas": replicas, "engines": { "equals": { "zone": "z0" } } }],
    });
    let document: ConfigurationDocument =
        serde_json::from_value(document).expect("the document is complete");
    Configuration::default()
        .with_change(&document)
        .expect("it is valid")
}

fn loaded_models(loaded: &[&[&str]]) -> LoadedModels {
    loaded
        .iter()
        .enumerate()
        .map(|(number, models)| {
            let models = models.iter().map(|model| (*model).to_owned()).collect();
            (format!("e{number}").as_str().into(), models)
        })
        .collect()
}

fn plan(
    configuration: &Configuration,
    loaded: &[&[&str]],
    leaving: &str,
) -> Vec<(String, OrderAction)> {
    plan_orders(
        configuration,
        &loaded_models(loaded),
        &OrderTable::default(),
        |backend| backend.name.as_str() == leaving,
    )
    .into_iter()
    .map(|order| (order.backend.0, order.action))
    .collect()
}

#[test]
fn only_engines_that_match_the_selector_are_ordered_to_load() {
    let configuration = configuration(2, 4);
    let orders = plan(&configuration, &[&[], &[], &[], &[]], "");
    assert_eq!(
        orders,
        [
            ("e0".into(), OrderAction::Load),
            ("e2".into(), OrderAction::Load)
        ]
    );
}

#[test]
fn a_loaded_model_stays_and_is_not_ordered_again() {
    let configuration = configuration(1, 4);
    assert_eq!(plan(&configuration, &[&[], &[], &["m"], &[]], ""), []);
}

#[test]
fn a_leaving_engines_model_is_loaded_elsewhere() {
    let configuration = configuration(1, 4);
    let orders = plan(&configuration, &[&[], &[], &["m"], &[]], "e2");
    assert_eq!(orders, [("e0".into(), OrderAction::Load)]);
}

#[test]
fn a_surplus_model_is_unloaded_only_when_enough_engines_have_it() {
    let configuration = configuration(1, 4);
    let orders = plan(&configuration, &[&["m"], &[], &["m"], &[]], "");
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].1, OrderAction::Unload);
}

#[test]
fn an_engine_without_a_report_gets_no_order() {
    let configuration = configuration(2, 4);
    let orders = plan(&configuration, &[&[]], "");
    assert_eq!(orders, [("e0".into(), OrderAction::Load)]);
}

fn order(term: u64, sequence: u64, backend: &str) -> Order {
    Order {
        id: OrderId { term, sequence },
        backend: backend.into(),
        action: OrderAction::Load,
        model: "m".into(),
    }
}

#[test]
fn an_engine_has_one_outstanding_order_and_older_fencing_tokens_are_rejected() {
    let mut orders = OrderTable::default();
    let mut issue = |order: &Order| orders.apply(OrderCommand::Issue(order.clone()));
    let first = order(2, 1, "e0");
    assert_eq!(issue(&first), OrderReply::Issued);
    assert_eq!(issue(&first), OrderReply::Issued, "a repeated command");
    assert_eq!(issue(&order(2, 2, "e0")), OrderReply::Refused);
    assert_eq!(issue(&order(1, 9, "e1")), OrderReply::Refused);
    assert_eq!(orders.apply(OrderCommand::End(first.id)), OrderReply::Ended);
    assert_eq!(
        orders.apply(OrderCommand::Issue(order(2, 2, "e0"))),
        OrderReply::Issued
    );
}
