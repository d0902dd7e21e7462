//! x
fn main(){}
